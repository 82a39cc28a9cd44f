package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/lycheekeel/lycheekeel/internal/faultproxy"
	"github.com/lycheekeel/lycheekeel/platform/standin"
)

// How often servers' links are disturbed.
const (
	resetEvery     = 150 * time.Millisecond
	silenceSpan    = 800 * time.Millisecond
	silenceEvery   = 1500 * time.Millisecond // after the end of the last silence
	killThreeEvery = 4 * time.Second
	replaceEvery   = 1500 * time.Millisecond
)

// inParallel combines disturbances.
func inParallel(all ...disturbance) disturbance {
	return func(ctx context.Context, f *fleet, record *faultRecord) {
		var wg conc.WaitGroup
		for _, d := range all {
			wg.Go(func() { d(ctx, f, record) })
		}
		wg.Wait()
	}
}

// streamServers returns the servers of the streams' service as of now.
func (f *fleet) streamServers() (out []*server) {
	f.serversMu.Lock()
	defer f.serversMu.Unlock()
	for _, s := range f.servers {
		if s.service == "llm" && s.drainingSince.IsZero() {
			out = append(out, s)
		}
	}
	return out
}

// resetServers resets the connections of the streams' servers in turn.
func resetServers(ctx context.Context, f *fleet, _ *faultRecord) {
	for i := 0; ctx.Err() == nil; i++ {
		all := f.streamServers()
		all[i%len(all)].proxy.Reset()
		sleep(ctx, resetEvery)
	}
}

// silenceServers makes the connections of the streams' servers silent in turn.
func silenceServers(ctx context.Context, f *fleet, _ *faultRecord) {
	for i := 0; ctx.Err() == nil; i++ {
		all := f.streamServers()
		s := all[i%len(all)]
		s.proxy.SilenceAll(faultproxy.Both)
		sleep(ctx, silenceSpan)
		s.proxy.ClearFaults()
		sleep(ctx, silenceEvery)
	}
}

// killThree kills three daemons at once, other ones each time, and starts them again.
func killThree(ctx context.Context, f *fleet, record *faultRecord) {
	for i := 0; ctx.Err() == nil; i++ {
		sleep(ctx, killThreeEvery)
		var wg conc.WaitGroup
		for k := range 3 {
			n := f.nodes[(2*i+k)%len(f.nodes)]
			restart := n.restarter()
			wg.Go(func() {
				n.kill()
				record.addKill(n)
				restart()
			})
		}
		wg.Wait()
	}
}

// endVersion ends all servers of the first version for good.
func endVersion(ctx context.Context, f *fleet, _ *faultRecord) {
	sleep(ctx, versionGoneAfter)
	for _, s := range f.streamServers() {
		if s.Version == versionName(0) {
			f.endServer(s)
		}
	}
}

// endServer ends a server without notice and removes its entry.
func (f *fleet) endServer(s *server) {
	f.serversMu.Lock()
	s.drainingSince = time.Now()
	f.serversMu.Unlock()
	s.stop()
	s.proxy.ResetAndRefuse()
	f.store.Remove(standin.KindServers, s.ID)
}

// disturbPeers resets the links between daemons, or silences one for a while.
func disturbPeers(seed int64) disturbance {
	return func(ctx context.Context, f *fleet, _ *faultRecord) {
		r := rand.New(rand.NewPCG(uint64(seed), 4))
		for ctx.Err() == nil {
			p := pick(r, f.nodes).peerProxy
			if r.IntN(2) == 0 {
				p.Reset()
			} else {
				p.SilenceAll(faultproxy.Both)
				sleep(ctx, silenceSpan)
				p.ClearFaults()
			}
			sleep(ctx, time.Second)
		}
	}
}

// replaceServers replaces servers by servers of another version, as a release does.
func replaceServers(seed int64) disturbance {
	return func(ctx context.Context, f *fleet, _ *faultRecord) {
		r := rand.New(rand.NewPCG(uint64(seed), 5))
		for ctx.Err() == nil {
			sleep(ctx, replaceEvery)
			old := pick(r, f.streamServers())
			f.addVersionedServer(versionName(r.IntN(3)))
			f.endServer(old)
		}
	}
}
