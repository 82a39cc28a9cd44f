package soak

import (
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/lycheekeel/lycheekeel/internal/faultproxy"
	"github.com/lycheekeel/lycheekeel/platform/standin"
)

// fault is one thing that is done to the fleet; undo, where not nil, ends it.
type fault struct {
	name string
	do   func(f *fleet, r *rand.Rand) (undo func())
}

func pick[T any](r *rand.Rand, all []T) T { return all[r.IntN(len(all))] }

// faults are all that a run draws from.
var faults = []fault{
	{"terminate and restart", func(f *fleet, r *rand.Rand) func() {
		n := pick(r, f.nodes)
		again := n.restarter()
		n.signal(syscall.SIGTERM)
		return again
	}},
	{"kill and restart", func(f *fleet, r *rand.Rand) func() {
		n := pick(r, f.nodes)
		again := n.restarter()
		n.kill()
		return again
	}},
	{"pause", func(f *fleet, r *rand.Rand) func() {
		n := pick(r, f.nodes)
		n.signal(syscall.SIGSTOP)
		return func() { n.signal(syscall.SIGCONT) }
	}},
	{"hang up", func(f *fleet, r *rand.Rand) func() { pick(r, f.nodes).signal(syscall.SIGHUP); return nil }},
	{"harm a link", func(f *fleet, r *rand.Rand) func() {
		n := pick(r, f.nodes)
		return harm(pick(r, []*faultproxy.Proxy{n.front, n.peer, n.store}), r)
	}},
	{"harm a server's link", func(f *fleet, r *rand.Rand) func() { return harm(pick(r, f.servers).proxy, r) }},
	{"store misbehaves", func(f *fleet, r *rand.Rand) func() {
		f.store.SetFaults(pick(r, []standin.Faults{{Busy: true}, {Silent: true}, {LoseWriteAnswers: true}, {StallWatches: true}}))
		return func() { f.store.SetFaults(standin.Faults{}) }
	}},
	{"store forgets its history", func(f *fleet, _ *rand.Rand) func() { f.store.Compact(); return nil }},
	{"server is busy", func(f *fleet, r *rand.Rand) func() {
		s := pick(r, f.servers)
		s.SetBusy(true)
		return func() { s.SetBusy(false) }
	}},
	{"server crashes, another comes", func(f *fleet, r *rand.Rand) func() {
		s := pick(r, f.servers)
		s.stop()
		s.proxy.Cut()
		f.store.Remove(standin.KindServers, s.ID)
		return func() { f.addServer(s.service) }
	}},
	{"server leaves, another comes", func(f *fleet, r *rand.Rand) func() {
		s := pick(r, f.servers)
		if s.left.IsZero() {
			f.addServer(s.service)
			s.left = time.Now()
			f.enter(s, "draining")
		}
		return nil
	}},
	{"bad version is rolled out", func(f *fleet, _ *rand.Rand) func() { f.rollOutBadVersion(); return nil }},
	{"key is withdrawn", func(f *fleet, _ *rand.Rand) func() {
		if _, gone := f.revoked["k3"]; !gone {
			f.putKeys("k1", "k2")
			f.revoked["k3"] = time.Now()
		}
		return nil
	}},
}

// harm does something to a link.
func harm(p *faultproxy.Proxy, r *rand.Rand) func() {
	switch r.IntN(5) {
	case 0:
		p.Delay(time.Duration(20+r.IntN(400)) * time.Millisecond)
	case 1:
		p.Reset()
	case 2:
		p.Cut()
	case 3:
		p.Silence(pick(r, []faultproxy.Direction{faultproxy.ToTarget, faultproxy.ToClient, faultproxy.Both}))
	default:
		p.SilenceAll(pick(r, []faultproxy.Direction{faultproxy.ToTarget, faultproxy.ToClient, faultproxy.Both}))
	}
	return p.Pass
}

// torment injects faults, in series and overlapping, for the span; then it
// ends them all.
func (f *fleet) torment(r *rand.Rand, only func(name string) bool) {
	type ending struct {
		at   time.Time
		undo func()
	}
	var open []ending
	allowed := make([]fault, 0, len(faults))
	for _, x := range faults {
		if only(x.name) {
			allowed = append(allowed, x)
		}
	}
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	next := time.Now()
	for end := next.Add(*span); time.Now().Before(end); <-tick.C {
		now := time.Now()
		if now.After(next) {
			x := pick(r, allowed)
			f.t.Logf("%s", x.name)
			if undo := x.do(f, r); undo != nil {
				open = append(open, ending{now.Add(time.Duration(100+r.IntN(2500)) * time.Millisecond), undo})
			}
			next = now.Add(time.Duration(50+r.IntN(600)) * time.Millisecond)
		}
		for i := 0; i < len(open); i++ {
			if now.After(open[i].at) {
				open[i].undo()
				open = append(open[:i], open[i+1:]...)
				i--
			}
		}
	}
	for _, o := range open {
		o.undo()
	}
	f.restarts.Wait()
}
