package main

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/lycheekeel/lycheekeel/platform/standin"
)

const (
	// rounds is how many servers leave, one after the other.
	rounds = 4
	// requestInterval is the time between two requests.
	requestInterval = 8 * time.Millisecond
	// reportTime is the time between a server's decision to leave, from which on its answers
	// say so, and the store's acknowledgment.
	reportTime = 250 * time.Millisecond
	// freezeAfter is how long after the acknowledgment a daemon freezes: well beyond
	// drainTimeout. freezeFor is how long it stands still.
	freezeAfter, freezeFor = 3 * time.Second, 4 * time.Second
	// servesFor is how long a leaving server serves after the acknowledgment: twice
	// drainTimeout.
	servesFor = 4 * time.Second
	// workTime is how long a server works on a request.
	workTime = 200 * time.Millisecond
)

// owner returns the daemon that grants the slots of a pool, by the logs.
func (f *fleet) owner(pool string) *daemon {
	var owner *daemon
	newest := ""
	for _, d := range f.daemons {
		owns, at := false, ""
		for _, line := range d.logs(fmt.Sprintf("\"pool\":%q", pool)) {
			switch {
			case strings.Contains(line, "Owns the pool now."):
				owns = true
				_, at, _ = strings.Cut(line, "\"time\":\"")
			case strings.Contains(line, "Gave the pool up."):
				owns = false
			}
		}
		if owns && at > newest {
			owner, newest = d, at
		}
	}
	return owner
}

// playLeavingUnheard lets servers leave, freezes the daemon that grants their slots when all
// daemons have long had to know that they leave, and looks for requests that reach them from
// the other daemons.
func playLeavingUnheard(f *fleet) bool {
	f.configure(standin.Configuration{
		Routes:        []standin.Route{{Prefix: "/book/", Type: "non_idempotent", Service: "app", MaxAttempts: 1, TimeoutMs: 2000, LatencyTargetMs: 300}},
		PlainServices: []string{"app"}, Engines: map[string]int{"llm": 9},
	})
	app := func(n int) *backend {
		return f.startBackend(fmt.Sprintf("i-7f3a91c%d", n), "app", 6, "-work", workTime.String())
	}
	var servers []*backend
	for i := range 5 {
		servers = append(servers, app(i))
	}
	for i := range 8 {
		f.startBackend(fmt.Sprintf("i-7f3a91d%d", i), "llm", 9)
	}
	f.startDaemons(6)
	l := f.startLoad(requestInterval, request{method: "POST", path: "/book/x", body: "book", deadline: 4 * time.Second})
	acked := make([]time.Time, rounds)
	// frozen is the daemon that was frozen in a round.
	frozen := make([]*daemon, rounds)
	for i := range rounds {
		servers = append(servers, app(5+i))
		time.Sleep(3 * time.Second)
		servers[i].order(orderLeaving)
		time.Sleep(reportTime)
		servers[i].setState("draining")
		acked[i] = time.Now()
		time.Sleep(freezeAfter)
		if f.trouble {
			frozen[i] = f.owner("app")
			frozen[i].signal(syscall.SIGSTOP)
			f.record("%s, which grants the slots of app, is frozen", frozen[i].name)
		}
		time.Sleep(time.Until(acked[i].Add(servesFor)))
		servers[i].leave()
		time.Sleep(time.Until(acked[i].Add(freezeAfter + freezeFor)))
		if f.trouble {
			frozen[i].signal(syscall.SIGCONT)
			f.record("%s goes on", frozen[i].name)
		}
		time.Sleep(3 * time.Second)
	}
	all := l.end()
	broken := 0
	for i, at := range acked {
		broken += f.checkDrain(servers[i], at, frozen[i], all)
	}
	return broken > 0
}

// checkDrain counts the requests that were sent to daemons other than an excused one later
// than drainTimeout after the acknowledgment and reached a leaving server.
func (f *fleet) checkDrain(leaver *backend, acked time.Time, excused *daemon, all []sentRequest) (broken int) {
	reached := leaver.reached()
	for _, x := range all {
		after := x.answer.sentAt.Sub(acked)
		if at, ok := reached[x.answer.id]; ok && x.daemon != excused && after > drainTimeout {
			f.record("DRAIN: %s was sent to %s %.3f s after the acknowledgment, and reached %s %.3f s after it",
				x.answer.id, x.daemon.name, after.Seconds(), leaver.id, at.Sub(acked).Seconds())
			if x.answer.status != http.StatusOK {
				f.record("DRAIN: the server's exit took %s along, which may not be repeated; the client got %d", x.answer.id, x.answer.status)
			}
			broken++
		}
	}
	return broken
}

// reached returns when requests reached a server, without those that it answered with 421.
func (b *backend) reached() map[string]time.Time {
	out := map[string]time.Time{}
	for _, r := range b.all() {
		if r.Event == "run" {
			out[r.Request] = r.At
		}
	}
	return out
}
