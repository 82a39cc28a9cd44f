package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/lycheekeel/lycheekeel/platform/standin"
)

// playMissingEvent lets one of three model servers spoil the id of one event in a few of its
// streams, and looks for streams that end as complete without all of their events.
func playMissingEvent(f *fleet) bool {
	const events = 20
	f.configure(standin.Configuration{
		Routes: []standin.Route{
			{Prefix: "/report/", Type: "stream", Service: "llm", MaxAttempts: 2, Resumable: true, TimeoutMs: 15000, LatencyTargetMs: 1000, GapTargetMs: 600},
		},
		Engines: map[string]int{"llm": 9},
	})
	flags := []string{"-events", fmt.Sprint(events), "-together", "2", "-interval", "40ms"}
	faulty := f.startBackend("i-7f3a91d0", "llm", 9, append(flags, "-spoil", fmt.Sprint(spoilEach), "-spoil-id")...)
	f.startBackend("i-7f3a91d1", "llm", 9, flags...)
	f.startBackend("i-7f3a91d2", "llm", 9, flags...)
	f.startDaemons(3)
	time.Sleep(time.Second)
	l := f.startLoad(20*time.Millisecond, request{
		method: http.MethodPost, path: "/report/x", body: "prompt", headers: "X-Model: m\r\nX-Token-Count: 100,100\r\n", deadline: 15 * time.Second,
	})
	faulty.garble(2)
	broken := 0
	for _, x := range l.end() {
		a := x.answer
		if a.status != http.StatusOK || !a.complete {
			continue
		}
		if missing := missingEvents(a.body, events); len(missing) > 0 {
			f.record("ORDER: the stream %s ended as complete without the events %v", a.id, missing)
			broken++
		}
	}
	return broken > 0
}

// missingEvents returns which of n events a stream does not hold.
func missingEvents(body string, n int) (missing []int) {
	for i := 1; i <= n; i++ {
		if !strings.Contains(body, fmt.Sprintf("id: %d\ndata: event %d of", i, i)) {
			missing = append(missing, i)
		}
	}
	return missing
}
