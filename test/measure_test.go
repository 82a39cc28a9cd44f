package test

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/time/rate"

	engine "github.com/lycheekeel/lycheekeel/internal/standin/engine"
	standin "github.com/lycheekeel/lycheekeel/internal/standin/objectstore"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// measureEnv enables the measurement when set.
const measureEnv = "LYCHEEKEEL_MEASURE"

const (
	measureRate    = 120 // requests per second
	measureCallers = 120
	measureWindow  = 15 * time.Second
	measureChanges = 10
	measureKills   = 3
	clockTicks     = 100 // ticks per second in /proc/PID/stat
)

// TestMeasureCluster measures clusters of several sizes under the same load. It
// asserts nothing. The results are in docs/measurements/cluster.md.
func TestMeasureCluster(t *testing.T) {
	if os.Getenv(measureEnv) == "" {
		t.Skip("this is a measurement; to run it, set " + measureEnv)
	}
	for _, size := range []int{3, 5, 9} {
		t.Run(strconv.Itoa(size), func(t *testing.T) {
			c := newCluster(t, clusterSpec{nodes: size, engines: 4, options: engine.Options{StepMs: 10}, slots: 16})
			c.measureSteady()
			c.measureChanges()
			for range measureKills {
				c.measureOwnerKill()
			}
		})
	}
}

// startMeasuredLoad sends requests to the nodes at a steady rate.
func (c *cluster) startMeasuredLoad(nodes []*node) *load {
	l := &load{}
	sendCtx, cancel := context.WithCancel(c.t.Context())
	l.cancel = cancel
	limiter := rate.NewLimiter(measureRate, 1)
	for caller := range measureCallers {
		l.wg.Go(func() {
			for n := 0; limiter.Wait(sendCtx) == nil; n++ {
				r, _ := echoCall(caller, n, 5)
				l.add(r, chat(c.t.Context(), roundRobin(nodes)(caller, n), r))
			}
		})
	}
	eventually(c.t, "traffic flows", func() bool { return l.count() >= measureRate })
	return l
}

// usage is a daemon's resource usage since its start.
type usage struct {
	cpu   time.Duration
	bytes int64 // to and from peers
}

func (c *cluster) usageOf(n *node) usage {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", n.cmd.Process.Pid))
	if err != nil {
		c.t.Fatal(err)
	}
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	var ticks time.Duration
	for _, f := range fields[11:13] { // utime and stime
		v, _ := strconv.Atoi(f)
		ticks += time.Duration(v)
	}
	var vars struct {
		Lycheekeel struct {
			Peer struct {
				In  int64 `json:"wire_bytes_in"`
				Out int64 `json:"wire_bytes_out"`
			}
		}
	}
	c.getJSON(n.settings.Admin, "/debug/vars", &vars)
	return usage{ticks * time.Second / clockTicks, vars.Lycheekeel.Peer.In + vars.Lycheekeel.Peer.Out}
}

func (c *cluster) storeCalls() (sum int64) {
	calls := map[string]int64{}
	c.getJSON(c.platformAddr, standin.PathCalls, &calls)
	for _, n := range calls {
		sum += n
	}
	return sum
}

// measureSteady logs the daemons' resource usage without and with load.
func (c *cluster) measureSteady() {
	for _, loaded := range []bool{false, true} {
		var l *load
		if loaded {
			l = c.startMeasuredLoad(c.nodes)
		}
		var before, after []usage
		calls, answers, from := c.storeCalls(), 0, time.Now()
		if loaded {
			answers = l.count()
		}
		for _, n := range c.nodes {
			before = append(before, c.usageOf(n))
		}
		<-time.After(measureWindow)
		for _, n := range c.nodes {
			after = append(after, c.usageOf(n))
		}
		seconds := time.Since(from).Seconds()
		var cpu, bytes []float64
		for i := range after {
			cpu = append(cpu, 100*(after[i].cpu-before[i].cpu).Seconds()/seconds)
			bytes = append(bytes, float64(after[i].bytes-before[i].bytes)/seconds)
		}
		slices.Sort(cpu)
		slices.Sort(bytes)
		c.t.Logf("%d daemons, loaded %v: store calls %.1f/s; CPU per daemon, %% of a core: median %.1f, max %.1f; peer bytes/s per daemon, in and out: median %.0f, max %.0f",
			len(c.nodes), loaded, float64(c.storeCalls()-calls)/seconds, cpu[len(cpu)/2], cpu[len(cpu)-1], bytes[len(bytes)/2], bytes[len(bytes)-1])
		if loaded {
			rate := float64(l.count()-answers) / seconds
			complete, refused, failed := checkAnswers(c.t, c, l.stop())
			c.t.Logf("%d daemons: %.0f answers/s; %d complete, %v refused, %d failed", len(c.nodes), rate, complete, refused, failed)
		}
	}
}

// measureChanges logs how long configuration changes take to become active at
// every daemon. It polls the daemons' status every 10 ms.
func (c *cluster) measureChanges() {
	var took []time.Duration
	for i := range measureChanges {
		from := time.Now()
		c.awaitVersion(uint64(c.put(workspace.KindPool, testPool, workspace.Pool{
			Name: testPool, Region: testRegion, Model: testModel, Version: "v1", MaxWaiting: 5000 + i,
		})))
		took = append(took, time.Since(from).Round(time.Millisecond))
	}
	slices.Sort(took)
	c.t.Logf("%d daemons: configuration active everywhere after: median %v, max %v of %d", len(c.nodes), took[len(took)/2], took[len(took)-1], len(took))
}

// measureOwnerKill logs the time from the owner's kill to the first request
// that started under the new owner, which is the end of the longest pause in
// the engines' run logs.
func (c *cluster) measureOwnerKill() {
	owner := c.owner(testPool)
	l := c.startMeasuredLoad(c.others(owner))
	before := l.count()
	killed := time.Now()
	owner.kill()
	eventually(c.t, "traffic resumes", func() bool { return l.count() >= before+5*measureRate })
	complete, refused, failed := checkAnswers(c.t, c, l.stop())
	var starts []time.Time
	for _, r := range c.runs() {
		if r.StartedAt.After(killed.Add(-100 * time.Millisecond)) {
			starts = append(starts, r.StartedAt)
		}
	}
	slices.SortFunc(starts, time.Time.Compare)
	var longest time.Duration
	var first time.Time
	for i := 1; i < len(starts); i++ {
		if pause := starts[i].Sub(starts[i-1]); pause > longest {
			longest, first = pause, starts[i]
		}
	}
	c.t.Logf("%d daemons: first grant %v after the owner was killed, longest pause %v; %d complete, %v refused, %d failed",
		len(c.nodes), first.Sub(killed).Round(time.Millisecond), longest.Round(time.Millisecond), complete, refused, failed)
	c.startNode(owner)
	c.awaitReady(owner)
	c.awaitMembers()
}
