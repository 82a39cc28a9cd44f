package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/lycheekeel/lycheekeel/platform/standin"
)

const (
	// poisonBody is the body of the request that crashes each server that begins to run it.
	poisonBody = "poison"
	// poisonInterval is how often that request comes.
	poisonInterval = 5 * time.Second
	// poisonSpan is how long it comes.
	poisonSpan = 62 * time.Second
	// herdKillAt is when all daemons are killed; they start again herdDown later.
	herdKillAt, herdDown = 25500 * time.Millisecond, 800 * time.Millisecond
	// stable is stable_ms.
	stable = 3 * time.Second
	// serverDown is how long a crashed server is down, pings how long its entry stays.
	serverDown, pings = 3 * time.Second, 3 * heartbeat
	// crashesKnown is the number of crashes after which retries are limited to mostRetries.
	crashesKnown, mostRetries = 3, 3
)

// crashes starts crashed servers again, each as a new lifetime with a new id.
type crashes struct {
	fleet *fleet
	mu    sync.Mutex
	next  int
}

func (c *crashes) start(address string) {
	c.mu.Lock()
	c.next++
	id := fmt.Sprintf("i-7f3a%04x", 0x9100+c.next)
	c.mu.Unlock()
	b := c.fleet.startBackendAt(address, id, "app", 6, "-work", "60ms", "-poison", poisonBody)
	go func() {
		_ = b.cmd.Wait()
		select {
		case <-c.fleet.beats.Done():
			return
		default:
		}
		b.silence()
		c.fleet.record("server %s has crashed", id)
		time.AfterFunc(pings, func() {
			c.fleet.store.Remove("servers", id)
			c.fleet.record("the entry of %s has expired", id)
		})
		time.Sleep(serverDown)
		c.start(b.address)
	}()
}

// playPoison sends a request that crashes servers again and again, kills all daemons once, and
// counts how often the request reaches servers from daemons in touch.
func playPoison(f *fleet) bool {
	f.configure(standin.Configuration{
		Routes:        []standin.Route{{Prefix: "/book/", Type: "non_idempotent", Service: "app", MaxAttempts: 1, TimeoutMs: 2000, LatencyTargetMs: 300}},
		PlainServices: []string{"app"},
	})
	c := &crashes{fleet: f}
	for range 6 {
		c.start(freeAddress())
	}
	f.startDaemons(3)
	time.Sleep(time.Second)
	sound := f.startLoad(100*time.Millisecond, request{method: http.MethodPost, path: "/book/x", body: "sound", deadline: 4 * time.Second})
	begun := time.Now()
	var poisoned []sentRequest
	var mu sync.Mutex
	var wg sync.WaitGroup
	var inTouchFrom time.Time // of all daemons
	killed := !f.trouble
	for i := 0; time.Since(begun) < poisonSpan; i++ {
		d := f.daemons[i%len(f.daemons)]
		wg.Add(1)
		go func() {
			defer wg.Done()
			a := f.send(d, request{method: http.MethodPost, path: "/book/x", body: poisonBody, deadline: 4 * time.Second})
			mu.Lock()
			defer mu.Unlock()
			poisoned = append(poisoned, sentRequest{d, a})
		}()
		next := begun.Add(time.Duration(i+1) * poisonInterval)
		if at := begun.Add(herdKillAt); !killed && at.Before(next) {
			killed = true
			time.Sleep(time.Until(at))
			for _, d := range f.daemons {
				d.kill()
			}
			f.killedAt = time.Now()
			f.record("all daemons are killed")
			time.Sleep(herdDown)
			for _, d := range f.daemons {
				f.startDaemon(d)
			}
			inTouchFrom = time.Now().Add(stable)
		}
		time.Sleep(time.Until(next))
	}
	wg.Wait()
	sound.end()
	return f.countRetries(poisoned, inTouchFrom)
}

// countRetries counts the arrivals of the request that crashes servers later than stable after
// the third crash, from daemons in touch.
func (f *fleet) countRetries(poisoned []sentRequest, inTouchFrom time.Time) bool {
	reached := map[string]time.Time{}
	var crashed []time.Time
	f.mu.Lock()
	backends := append([]*backend(nil), f.backends...)
	f.mu.Unlock()
	for _, b := range backends {
		for id, at := range b.reached() {
			reached[id] = at
		}
	}
	for _, x := range poisoned {
		if at, ok := reached[x.answer.id]; ok {
			crashed = append(crashed, at)
		}
	}
	slices.SortFunc(crashed, time.Time.Compare)
	if len(crashed) < crashesKnown {
		panic("the request has not crashed three servers")
	}
	retries := 0
	for _, at := range crashed {
		inTouch := f.killedAt.IsZero() || at.Before(f.killedAt) || at.After(inTouchFrom)
		counts := at.After(crashed[crashesKnown-1].Add(stable)) && inTouch
		f.record("the request reached a server at %.3f s, in touch %v, counts %v", at.Sub(f.started).Seconds(), inTouch, counts)
		if counts {
			retries++
		}
	}
	f.record("BUDGET: %d retries counted, %d are allowed", retries, mostRetries)
	return retries > mostRetries
}
