package main

import (
	"sync"
	"time"

	"github.com/lycheekeel/lycheekeel/platform/standin"
)

// playDrainedStream drains a server whose streams end with their channel, and looks for
// streams that end as complete before their last event.
func playDrainedStream(f *fleet) bool {
	const events = 60
	f.configure(standin.Configuration{
		Routes: []standin.Route{
			{Prefix: "/resume/", Type: "stream", Service: "llm", MaxAttempts: 2, Resumable: true, TimeoutMs: 15000, LatencyTargetMs: 1000, GapTargetMs: 600},
			{Prefix: "/plain/", Type: "stream", Service: "llm", MaxAttempts: 1, TimeoutMs: 15000, LatencyTargetMs: 1000, GapTargetMs: 600},
		},
		Engines: map[string]int{"llm": 9},
	})
	flags := []string{"-unframed", "-events", "60", "-interval", "150ms"}
	first := f.startBackend("i-7f3a91c1", "llm", 9, flags...)
	f.startBackend("i-7f3a91c2", "llm", 9, flags...)
	f.startBackend("i-7f3a91c3", "llm", 9, flags...)
	f.startDaemons(3)
	time.Sleep(time.Second)

	var wg sync.WaitGroup
	answers := make([]*answer, 12)
	for i := range answers {
		path := []string{"/resume/a", "/plain/b"}[i%2]
		wg.Add(1)
		go func() {
			defer wg.Done()
			answers[i] = f.send(f.daemons[i%len(f.daemons)], request{
				method: "POST", path: path, body: "prompt", headers: "X-Model: m\r\nX-Token-Count: 100,300\r\n", deadline: 15 * time.Second,
			})
		}()
		time.Sleep(30 * time.Millisecond)
	}
	time.Sleep(time.Second)
	if f.trouble {
		first.setState("draining")
		time.Sleep(drainTimeout + time.Second)
		first.leave()
	}
	wg.Wait()
	broken := 0
	for _, a := range answers {
		if a.status == 200 && a.complete && a.lastEvent() < events {
			f.record("ORDER: the stream %s ended as complete after event %d of %d", a.id, a.lastEvent(), events)
			broken++
		}
	}
	return broken > 0
}
