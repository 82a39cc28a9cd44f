package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/lycheekeel/lycheekeel/request"
)

// BenchmarkDecision measures one cycle of enqueue, grant and release while all servers
// are full and the given number of requests wait. The requests have four tiers and five
// workspaces, and their prompts share prefixes.
func BenchmarkDecision(b *testing.B) {
	for _, servers := range []int{8, 32} {
		for _, waiting := range []int{100, 10000} {
			b.Run(fmt.Sprintf("servers=%d/waiting=%d", servers, waiting), func(b *testing.B) {
				benchmarkDecision(b, servers, waiting)
			})
		}
	}
}

const (
	benchSlots = 16
	// benchInterval keeps the arrival rate below the service rate, so that no headroom is
	// reserved and every freed slot is granted.
	benchInterval = 20 * time.Millisecond
)

func benchmarkDecision(b *testing.B, servers, waiting int) {
	p := New(Config{Name: "p", Epoch: 1, MaxWaiting: waiting + 1})
	set := ServerSet{}
	for i := range servers {
		set.Servers = append(set.Servers, ServerInfo{Name: fmt.Sprintf("s%02d", i), Slots: benchSlots})
	}
	now := start
	var out []Command
	p.Handle(now, set, nil)
	requests := make([]Enqueue, waiting+servers*benchSlots)
	for i := range requests {
		requests[i] = benchEnqueue(i)
	}
	var running []Grant
	for _, e := range requests {
		now = now.Add(benchInterval)
		out = p.Handle(now, e, out[:0])
		running = append(running, grants(out)...)
	}
	b.ReportAllocs()
	b.ResetTimer()
	granted := 0
	for i := range b.N {
		now = now.Add(benchInterval)
		g := running[0]
		running = running[1:]
		out = p.Handle(now, benchRelease(g), out[:0])
		next := grants(out)
		granted += len(next)
		running = append(running, next...)
		e := requests[i%len(requests)]
		e.Request = request.ID(fmt.Sprint("again", i))
		out = p.Handle(now, e, out[:0])
		running = append(running, grants(out)...)
	}
	if granted < b.N*9/10 {
		b.Fatalf("only %d of %d freed slots were granted again", granted, b.N)
	}
}

func benchEnqueue(i int) Enqueue {
	e := Enqueue{
		Request: request.ID(fmt.Sprint("r", i)), Entry: "e", Workspace: fmt.Sprint("w", i%5), Template: "t", Model: "m",
		Tier: request.Tier(i % 4), FirstTokenIn: time.Hour, DeadlineIn: 2 * time.Hour,
		PerToken: 62 * time.Millisecond, PromptTokens: 2048, MaxTokens: 100 + i%400, Fingerprint: uint64(i + 1),
		Blocks: make([]uint64, 32),
	}
	for k := range e.Blocks {
		group := uint64(i%50)<<32 + uint64(k)
		if k >= 24 {
			group = uint64(i+1)<<40 + uint64(k)
		}
		e.Blocks[k] = group + 1
	}
	return e
}

func benchRelease(g Grant) Release {
	return Release{
		Request: g.Request, Entry: g.Entry, Grant: g.Grant, Server: g.Server, Outcome: OutcomeDone,
		FirstToken: 100 * time.Millisecond, Total: 2 * time.Second, OutputTokens: 150, PromptTokens: 2048, PrefillComputed: 700,
	}
}
