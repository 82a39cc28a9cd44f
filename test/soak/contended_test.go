package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/lycheekeel/lycheekeel/platform/standin"
)

// Contended fleets serve streams with mixed targets and brief calls, with fewer slots than
// callers.
const (
	contendedSlots = 3
	// Concurrent callers of each node, and of a node of a contended fleet.
	callersPerNode, contendedCallersPerNode = 4, 8
	// Every slowEngineOneIn-th server that is added runs streams slowEngineFactor times slower.
	slowEngineOneIn, slowEngineFactor = 4, 4
	contendedEventInterval            = 10 * time.Millisecond
	contendedCallTime                 = 25 * time.Millisecond
	// prefillEvents is the time of a prompt as a multiple of that of an event: on a slow
	// engine a prompt does not fit between two events within gapTargetMs.
	prefillEvents = 2
)

// Targets in milliseconds. Streams to urgentPath have the lower priority and less than half of
// the first-event target of the others, so that the service has mixed targets. The calls'
// timeout makes them brief.
const (
	urgentPath                     = "/s/urgent/"
	streamTargetMs, urgentTargetMs = 800, 300
	urgentTimeoutMs                = 1500 // a slow engine ends such a stream in time only if it hardly waited
	gapTargetMs                    = 100
	briefTargetMs, briefTimeoutMs  = 120, 600
	patientTimeoutMs               = 8000
)

// The paths of the callers of contended fleets, which send either streams or calls.
var contendedPaths = [][]string{{"/s/once/", urgentPath, resumePath(0), urgentPath}, {"/once/", "/again/"}}

// contend makes the routes those of a contended fleet.
func (f *fleet) contend() {
	f.config.Routes = append(f.config.Routes, standin.Route{
		Prefix: urgentPath, Type: "stream", Service: "llm", MaxAttempts: 1, Priority: 1, TimeoutMs: urgentTimeoutMs,
	})
	for i := range f.config.Routes {
		if r := &f.config.Routes[i]; r.Service == "llm" {
			r.LatencyTargetMs, r.GapTargetMs = streamTargetMs, gapTargetMs
		}
	}
	f.setMixedTargets(true)
	f.setBriefCalls(true)
}

// setMixedTargets sets whether the streams' targets are mixed, in the configuration to store.
func (f *fleet) setMixedTargets(mixed bool) {
	for i := range f.config.Routes {
		if r := &f.config.Routes[i]; r.Prefix == urgentPath {
			r.LatencyTargetMs = streamTargetMs
			if mixed {
				r.LatencyTargetMs = urgentTargetMs
			}
		}
	}
}

// setBriefCalls sets whether the calls are brief, in the configuration to store.
func (f *fleet) setBriefCalls(brief bool) {
	for i := range f.config.Routes {
		if r := &f.config.Routes[i]; r.Service == "app" {
			r.LatencyTargetMs, r.TimeoutMs = briefTargetMs, patientTimeoutMs
			if brief {
				r.TimeoutMs = briefTimeoutMs
			}
		}
	}
}

// contendedFaults are the faults of contended fleets: changes of the configuration that
// change the services' traits while requests wait.
var contendedFaults = []fault{
	{"mixed targets end", func(f *fleet, _ *rand.Rand) func() { return f.changeTraits((*fleet).setMixedTargets) }},
	{"brief calls end", func(f *fleet, _ *rand.Rand) func() { return f.changeTraits((*fleet).setBriefCalls) }},
}

// changeTraits stores a configuration without a trait and returns the function that stores
// one with it.
func (f *fleet) changeTraits(set func(f *fleet, enabled bool)) func() {
	set(f, false)
	f.store.PutConfiguration(f.config)
	return func() {
		set(f, true)
		f.store.PutConfiguration(f.config)
	}
}

// callersPerNode returns the number of concurrent callers of each node.
func (f *fleet) callersPerNode() int {
	if f.contended {
		return contendedCallersPerNode
	}
	return callersPerNode
}

// callerPaths returns the paths of the ith caller of a node.
func (f *fleet) callerPaths(i int) []string {
	if f.contended {
		return contendedPaths[i%len(contendedPaths)]
	}
	return paths
}

// prompt returns the parts of a call's prompt: in contended fleets each stream has one of its
// own, so that the daemons know the tokens that a server has to compute.
func (f *fleet) prompt(x *call) string {
	if !f.contended || !strings.HasPrefix(x.path, "/s/") {
		return ""
	}
	return fmt.Sprintf("%s:%d", x.id, promptTokens)
}

// newServer returns a stand-in for the next server of a service.
func (f *fleet) newServer(service string) *standin.Server {
	s := &standin.Server{Events: 30, EventInterval: f.eventInterval, Fails: f.fails, AnswerBytes: f.answerBytes, CloseFramed: f.closeFramed && f.serversCreated%4 >= 2}
	switch {
	case !f.contended:
	case service == "app":
		s.Delay = contendedCallTime
	default:
		if f.serversCreated%slowEngineOneIn == 0 {
			s.EventInterval *= slowEngineFactor
		}
		s.Delay = prefillEvents * s.EventInterval
	}
	return s
}

// traitsLine is the line that a daemon logs when it sets the traits of a pool that it owns.
type traitsLine struct {
	Message      string `json:"msg"`
	Pool         string `json:"pool"`
	Share        bool   `json:"share"`
	FinishInTime bool   `json:"finish_in_time"`
	Overlap      bool   `json:"overlap"`
}

// traitsLogged returns the lines about the traits of pools in all daemons' logs. Static
// shares are ignored.
func (f *fleet) traitsLogged() (out []traitsLine) {
	for _, n := range f.nodes {
		written, err := os.ReadFile(filepath.Join(f.dir, n.name+".log"))
		if err != nil {
			f.t.Error(err)
		}
		for _, line := range bytes.Split(written, []byte("\n")) {
			var x traitsLine
			// A line that is being written, or of a crash, is not JSON.
			if json.Unmarshal(line, &x) == nil && x.Message == "Pool's traits changed." && !x.Share {
				out = append(out, x)
			}
		}
	}
	return out
}

// checkTraits checks that the pools of a contended fleet were scheduled by their traits;
// otherwise the run shows nothing about them.
func (f *fleet) checkTraits() {
	if !f.contended {
		return
	}
	var logged []traitsLine
	f.eventually("the pools' owners set the traits", func() bool {
		logged = f.traitsLogged()
		return slices.ContainsFunc(logged, func(x traitsLine) bool { return x.FinishInTime }) &&
			slices.ContainsFunc(logged, func(x traitsLine) bool { return x.Overlap })
	})
	f.t.Logf("the pools' traits were set %d times", len(logged))
}
