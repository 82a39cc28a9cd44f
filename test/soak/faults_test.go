package soak

import (
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/lycheekeel/lycheekeel/internal/faultproxy"
	"github.com/lycheekeel/lycheekeel/platform/standin"
	"github.com/lycheekeel/lycheekeel/test/soak/partition"
)

// fault is one kind of fault. inject returns a function that ends it, or nil if
// there is nothing to undo.
type fault struct {
	name   string
	inject func(f *fleet, r *rand.Rand) (undo func())
}

func pick[T any](r *rand.Rand, all []T) T { return all[r.IntN(len(all))] }

// faults are all faults that a run chooses from.
var faults = []fault{
	{"terminate and restart", func(f *fleet, r *rand.Rand) func() {
		n := pick(r, f.nodes)
		restart := n.restarter()
		n.signal(syscall.SIGTERM)
		return restart
	}},
	{"kill and restart", func(f *fleet, r *rand.Rand) func() {
		n := pick(r, f.nodes)
		restart := n.restarter()
		n.kill()
		f.record.addKill(n)
		return restart
	}},
	{"pause", func(f *fleet, r *rand.Rand) func() {
		n := pick(r, f.nodes)
		n.signal(syscall.SIGSTOP)
		return func() { n.signal(syscall.SIGCONT); f.record.addKill(n) }
	}},
	{"send SIGHUP", func(f *fleet, r *rand.Rand) func() { pick(r, f.nodes).signal(syscall.SIGHUP); return nil }},
	{"disturb a link", func(f *fleet, r *rand.Rand) func() {
		n := pick(r, f.nodes)
		return disturbLink(pick(r, []*faultproxy.Proxy{n.callerProxy, n.peerProxy, n.storeProxy}), r)
	}},
	{"disturb a server's link", func(f *fleet, r *rand.Rand) func() {
		s := pick(r, f.servers)
		s.linkDisturbed = true
		return disturbLink(s.proxy, r)
	}},
	{"store fails", func(f *fleet, r *rand.Rand) func() {
		f.store.SetFaults(pick(r, []standin.Faults{{Busy: true}, {Silent: true}, {LoseWriteAnswers: true}, {StallWatches: true}}))
		return func() { f.store.SetFaults(standin.Faults{}) }
	}},
	{"store compacts its history", func(f *fleet, _ *rand.Rand) func() { f.store.Compact(); return nil }},
	{"store is restored from a backup", func(f *fleet, _ *rand.Rand) func() {
		if f.backup == nil {
			b := f.store.Backup()
			f.backup = &b
			return nil
		}
		if f.badServers != nil { // nobody writes a rollout's outcome again here
			return nil
		}
		f.store.Restore(*f.backup)
		f.backup = nil
		return f.writeAgain
	}},
	{"server pushes nodes back", func(f *fleet, r *rand.Rand) func() {
		s := pick(r, f.servers)
		s.SetRetryAfter(pick(r, []string{"0.7", "2", "3.5"}))
		s.SetBusy(true)
		return func() { s.SetBusy(false) }
	}},
	{"server says that it leaves and is replaced", func(f *fleet, r *rand.Rand) func() {
		s := pick(r, f.servers)
		if !s.saysLeaving {
			f.addServer(s.service)
			s.saysLeaving = true
			s.SetLeaving("1")
		}
		return nil
	}},
	{"server is busy", func(f *fleet, r *rand.Rand) func() {
		s := pick(r, f.servers)
		s.SetBusy(true)
		return func() { s.SetBusy(false) }
	}},
	{"server crashes and is replaced", func(f *fleet, r *rand.Rand) func() {
		s := pick(r, f.servers)
		s.stopped = true
		s.proxy.StopListening()
		s.stop()
		s.proxy.ResetAndRefuse()
		f.store.Remove(standin.KindServers, s.ID)
		return func() { f.addServer(s.service) }
	}},
	{"server drains and is replaced", func(f *fleet, r *rand.Rand) func() {
		s := pick(r, f.servers)
		if s.drainingSince.IsZero() {
			f.addServer(s.service)
			s.drainingSince = time.Now()
			f.putServer(s, "draining")
		}
		return nil
	}},
	{"bad version is rolled out", func(f *fleet, _ *rand.Rand) func() { f.rollOutBadVersion(); return nil }},
	{"key is revoked", func(f *fleet, _ *rand.Rand) func() {
		if _, revoked := f.revokedAt["k3"]; !revoked {
			f.putKeys("k1", "k2")
			f.revokedAt["k3"] = time.Now()
			f.backup = nil // a node that starts on an older one would accept the key
		}
		return nil
	}},
	{malformedHeads, func(f *fleet, r *rand.Rand) func() {
		s := pick(r, f.servers)
		s.SetSpoiling(standin.SpoilHeads)
		return func() { s.SetSpoiling(standin.SpoilNothing) }
	}},
}

const malformedHeads = "server sends malformed heads"

// partitionFaults are the faults of fleets whose nodes can be partitioned from all servers:
// some nodes, or all but one.
var partitionFaults = []fault{
	{"partition from servers", func(f *fleet, r *rand.Rand) func() { return f.partitionSome(r, 1+r.IntN(2)) }},
	{"refuse new connections to servers", func(f *fleet, r *rand.Rand) func() {
		n := []*node{pick(r, f.nodes)}
		f.partition(n, partition.RefuseNew)
		return func() { f.partition(n, partition.None) }
	}},
	{"partition most from servers", func(f *fleet, r *rand.Rand) func() { return f.partitionSome(r, len(f.nodes)-1) }},
}

// spoilFaults are the faults of fleets whose servers spoil their streams.
var spoilFaults = []fault{
	{"server spoils its streams", func(f *fleet, r *rand.Rand) func() {
		s := pick(r, f.servers)
		s.SetSpoiling(pick(r, []standin.Spoiling{standin.SpoilLineEnds, standin.SpoilBatch, standin.SpoilFirst, standin.SpoilLast}))
		return func() { s.SetSpoiling(standin.SpoilNothing) }
	}},
	{"server writes blank lines", func(f *fleet, r *rand.Rand) func() {
		s := pick(r, f.servers)
		s.SetSpoiling(standin.SpoilLineEnds)
		return func() { s.SetSpoiling(standin.SpoilNothing) }
	}},
}

// exitFaults are the faults of fleets with streams that end with their connection.
var exitFaults = []fault{
	{"server drains and exits within its streams", func(f *fleet, r *rand.Rand) func() {
		s := pick(r, f.servers)
		if !s.stopped {
			f.addServer(s.service)
			s.stopped, s.drainingSince = true, time.Now()
			f.putServer(s, "draining")
			sleep(f.t.Context(), time.Duration(r.IntN(100))*time.Millisecond)
			s.proxy.StopListening()
			s.stop()
			f.store.Remove(standin.KindServers, s.ID)
		}
		return nil
	}},
}

// partitionSome partitions n nodes from all servers and returns the function that ends it.
func (f *fleet) partitionSome(r *rand.Rand, n int) func() {
	nodes := slices.Clone(f.nodes)
	r.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	f.partition(nodes[:n], pick(r, []partition.Mode{partition.Reset, partition.Hang, partition.RefuseNew}))
	return func() { f.partition(nodes[:n], partition.None) }
}

// disturbLink injects a random network fault into a link and returns the
// function that ends it.
func disturbLink(p *faultproxy.Proxy, r *rand.Rand) func() {
	switch r.IntN(6) {
	case 0:
		p.Delay(time.Duration(20+r.IntN(400)) * time.Millisecond)
	case 1:
		p.Reset()
	case 2:
		p.ResetAndRefuse()
	case 3:
		p.Hold()
	case 4:
		p.Silence(pick(r, []faultproxy.Direction{faultproxy.ToTarget, faultproxy.ToClient, faultproxy.Both}))
	default:
		p.SilenceAll(pick(r, []faultproxy.Direction{faultproxy.ToTarget, faultproxy.ToClient, faultproxy.Both}))
	}
	return p.ClearFaults
}

// injectFaults injects random faults, chosen among those that include selects,
// for faultDuration. Faults may overlap. Then it ends all of them and waits for
// the restarts.
func (f *fleet) injectFaults(r *rand.Rand, include func(name string) bool) {
	type ending struct {
		at   time.Time
		undo func()
	}
	var pending []ending
	possible := faults
	if f.partitionable {
		possible = slices.Concat(possible, partitionFaults)
	}
	if f.spoils {
		possible = slices.Concat(possible, spoilFaults)
	}
	if f.closeFramed {
		possible = slices.Concat(possible, exitFaults)
	}
	if f.contended {
		possible = slices.Concat(possible, contendedFaults)
	}
	if f.abused {
		possible = slices.Concat(possible, abuseFaults)
	}
	allowed := make([]fault, 0, len(possible))
	for _, x := range possible {
		if include(x.name) {
			allowed = append(allowed, x)
		}
	}
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	next := time.Now()
	for deadline := next.Add(*faultDuration); time.Now().Before(deadline); <-tick.C {
		now := time.Now()
		if now.After(next) {
			x := pick(r, allowed)
			f.t.Logf("%s", x.name)
			if undo := x.inject(f, r); undo != nil {
				pending = append(pending, ending{now.Add(time.Duration(100+r.IntN(2500)) * time.Millisecond), undo})
			}
			next = now.Add(time.Duration(50+r.IntN(600)) * time.Millisecond)
		}
		for i := 0; i < len(pending); i++ {
			if now.After(pending[i].at) {
				pending[i].undo()
				pending = append(pending[:i], pending[i+1:]...)
				i--
			}
		}
	}
	for _, o := range pending {
		o.undo()
	}
	f.restarts.Wait()
}
