package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/lycheekeel/lycheekeel/platform/standin"
)

const (
	// spoilEach is each how manieth stream of the faulty server is spoiled, 2 in 100, while it
	// spoils any: garbleTimes times for garbleFor, with pauses of garblePause.
	spoilEach              = 50
	garbleTimes            = 4
	garbleFor, garblePause = 5500 * time.Millisecond, 4 * time.Second
	// restartDelay is how long after its end a daemon's process is started again.
	restartDelay = time.Second
	// mostClosed is how many requests of kept channels may end without an answer.
	mostClosed = 3
)

// playBlankLine lets one of three model servers spoil a few of its streams by one more line
// end, and counts the requests of kept channels that were passed on to sound servers and end
// without an answer.
func playBlankLine(f *fleet) bool {
	const span = garbleTimes * (garbleFor + garblePause)
	f.configure(standin.Configuration{
		Routes: []standin.Route{
			{Prefix: "/report/", Type: "stream", Service: "llm", MaxAttempts: 2, Resumable: true, TimeoutMs: 15000, LatencyTargetMs: 1000, GapTargetMs: 600},
			{Prefix: "/book/", Type: "non_idempotent", Service: "app", MaxAttempts: 1, TimeoutMs: 2000, LatencyTargetMs: 300},
		},
		PlainServices: []string{"app"}, Engines: map[string]int{"llm": 9},
	})
	flags := []string{"-events", "20", "-interval", "20ms"}
	faulty := f.startBackend("i-7f3a91d0", "llm", 9, append(flags, "-spoil", fmt.Sprint(spoilEach))...)
	f.startBackend("i-7f3a91d1", "llm", 9, flags...)
	f.startBackend("i-7f3a91d2", "llm", 9, flags...)
	var sound []*backend
	for i := range 5 {
		sound = append(sound, f.startBackend(fmt.Sprintf("i-7f3a91c%d", i), "app", 6, "-work", "300ms"))
	}
	f.startDaemons(3)
	time.Sleep(time.Second)
	ended := f.superviseDaemons()

	streams := f.startLoad(20*time.Millisecond, request{
		method: http.MethodPost, path: "/report/x", body: "prompt", headers: "X-Model: m\r\nX-Token-Count: 100,100\r\n", deadline: 15 * time.Second,
	})
	var wg sync.WaitGroup
	var mu sync.Mutex
	var kept []sentRequest
	begun := time.Now()
	for i := range 30 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			d := f.daemons[i%len(f.daemons)]
			for time.Since(begun) < span {
				for _, a := range f.useChannel(d, begun.Add(span)) {
					mu.Lock()
					kept = append(kept, sentRequest{d, a})
					mu.Unlock()
				}
				time.Sleep(200 * time.Millisecond)
			}
		}()
	}
	faulty.garble(garbleTimes)
	wg.Wait()
	streams.end()
	reached := map[string]time.Time{}
	for _, b := range sound {
		for id, at := range b.reached() {
			reached[id] = at
		}
	}
	closed := 0
	for _, x := range kept {
		if _, ok := reached[x.answer.id]; ok && x.answer.status == 0 {
			closed++
			f.record("LOST: %s was passed on by %s to a sound server, and its kept channel ended without an answer: %v", x.answer.id, x.daemon.name, x.answer.err)
		}
	}
	f.record("%d processes ended by themselves", ended())
	f.record("LOST: %d requests of kept channels ended without an answer, %d are allowed", closed, mostClosed)
	return closed > mostClosed
}

// garble makes a server spoil some of its streams for a while, several times.
func (b *backend) garble(times int) {
	for range times {
		if b.fleet.trouble {
			b.order(orderSpoil)
		}
		time.Sleep(garbleFor)
		b.order(orderSound)
		time.Sleep(garblePause)
	}
}

// useChannel sends requests on one channel until it ends or the time is up. It returns the
// answers to all but the first request.
func (f *fleet) useChannel(d *daemon, until time.Time) (answers []*answer) {
	c, err := dial(d)
	if err != nil {
		return nil
	}
	defer c.close()
	for n := 0; time.Now().Before(until); n++ {
		a := newAnswer()
		f.record("client: POST /book/x %s sent to %s, request %d of its channel", a.id, d.name, n+1)
		a.err = c.exchange(request{method: http.MethodPost, path: "/book/x", body: "book", deadline: 4 * time.Second}, a)
		f.record("client: %s got %d, complete %v, error %v", a.id, a.status, a.complete, a.err)
		if n > 0 {
			answers = append(answers, a)
		}
		if a.err != nil {
			return answers
		}
		if a.status != http.StatusOK {
			time.Sleep(300 * time.Millisecond)
		}
	}
	return answers
}

// superviseDaemons starts daemons again that end by themselves, and returns a function that
// returns how many did.
func (f *fleet) superviseDaemons() func() int {
	var mu sync.Mutex
	count := 0
	for _, d := range f.daemons {
		go func() {
			for {
				mu.Lock()
				exited := d.exited
				mu.Unlock()
				<-exited
				select {
				case <-f.beats.Done():
					return
				default:
				}
				mu.Lock()
				count++
				mu.Unlock()
				f.record("%s: the process ended by itself: %v", d.name, d.cmd.ProcessState)
				for _, line := range d.logs("panic:") {
					f.record("%s: %s", d.name, line)
				}
				time.Sleep(restartDelay)
				mu.Lock()
				f.startDaemon(d)
				mu.Unlock()
			}
		}()
	}
	return func() int {
		mu.Lock()
		defer mu.Unlock()
		return count
	}
}
