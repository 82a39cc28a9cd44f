package main

import (
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/lycheekeel/lycheekeel/platform/standin"
)

const (
	// stableTime is the deployment's stable_ms, minClients the number of clients that have
	// to try for the rule.
	stableTime, minClients = 3 * time.Second, 7
	ordinaryClients        = 10
	// playTime is how long ordinary clients call, uploadsAt and uploadsFor when and for how
	// long the uploads go on.
	playTime, uploadsAt, uploadsFor = 20 * time.Second, 4 * time.Second, 10 * time.Second

	// bodyLimit is the configuration's max_body_bytes, longBody and shortBody the lengths of
	// the bodies of uploads.
	bodyLimit           = 4 << 20
	longBody, shortBody = bodyLimit, 482_413
	longs, shorts       = 15, 11
	// fastUntil is what is left of a long body, and sent of a short one, when an upload
	// becomes slow.
	fastUntil = 256<<10 - 1
	// fastBytes and slowBytes are sent each writeInterval: about 4 MB and 25 KB a second. The
	// gateway takes little at once, so that larger writes wait for it.
	fastBytes, slowBytes = 8 << 10, 50
	writeInterval        = 2 * time.Millisecond
)

// attempt is how one try of an ordinary client at a new channel ended.
type attempt struct {
	client int
	at     time.Time
	taken  bool // the request was read: there was an answer, whatever it says
}

// playUploads lets clients send long bodies, within the limits and never silent, to a gateway
// that ordinary clients call on new channels.
func playUploads(r *rig) (bool, error) {
	config := &standin.Configuration{
		Tenant: tenantName, Keys: []string{tenantKey}, MaxBodyBytes: bodyLimit,
		Routes: []standin.Route{
			{Prefix: "/photo/", Type: "idempotent", Service: "snag-app", MaxAttempts: 2, TimeoutMs: 15000, LatencyTargetMs: 300},
		},
		Engines: map[string]int{}, PlainServices: []string{"snag-app"},
	}
	if err := r.startServers(3, "snag-app", 6, &standin.Server{Delay: 20 * time.Millisecond}); err != nil {
		return false, err
	}
	r.store.PutConfiguration(config)
	if err := r.startGateways(1); err != nil {
		return false, err
	}
	g := r.gateways[0]
	var wg sync.WaitGroup
	var attempts []attempt
	var ready []time.Time // when the gateway said that it is ready
	begin := time.Now()
	wg.Go(func() { attempts = r.callOnNewChannels(g, begin.Add(playTime)) })
	wg.Go(func() {
		for time.Since(begin) < playTime {
			if at := time.Now(); g.isReady() {
				ready = append(ready, at)
			}
			time.Sleep(time.Second)
		}
	})
	if r.trouble {
		time.Sleep(time.Until(begin.Add(uploadsAt)))
		until := time.Now().Add(uploadsFor)
		for i := range longs {
			wg.Go(func() { r.uploadUntil(g, fmt.Sprintf("long-%d", i), longBody, longBody-fastUntil, until) })
		}
		for i := range shorts {
			wg.Go(func() { r.uploadUntil(g, fmt.Sprintf("short-%d", i), shortBody, fastUntil+2, until) })
		}
	}
	wg.Wait()
	r.logRuns()
	return r.takesNone(attempts, ready)
}

// callOnNewChannels lets the ordinary clients call until a time, each on a new channel each time.
func (r *rig) callOnNewChannels(g *gateway, until time.Time) (all []attempt) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	for client := range ordinaryClients {
		wg.Go(func() {
			for n := 0; time.Now().Before(until); n++ {
				c := call{method: "GET", path: "/photo/2f", id: fmt.Sprintf("get-%d-%d", client, n), deadline: 2 * time.Second}
				x := attempt{client: client, at: time.Now()}
				r.logf("%s is sent", c.id)
				a := c.send(g)
				r.logf("%s: %v", c.id, a)
				x.taken = a.status != 0
				mu.Lock()
				all = append(all, x)
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	return all
}

// uploadUntil uploads until a time, again whenever the gateway ends it.
func (r *rig) uploadUntil(g *gateway, name string, size, fast int, until time.Time) {
	for n := 0; time.Now().Before(until); n++ {
		id := fmt.Sprintf("%s-%d", name, n)
		r.logf("%s: a body of %d bytes begins", id, size)
		r.logf("%s: ends: %v", id, upload(g, id, size, fast, until))
		time.Sleep(5 * time.Millisecond)
	}
}

// upload sends a request with a body of a size: the first bytes fast, the others slowly, until
// a time.
func upload(g *gateway, id string, size, fast int, until time.Time) error {
	conn, err := net.DialTimeout("tcp", g.listen, connectTimeout)
	if err != nil {
		return err
	}
	defer conn.Close()
	head := fmt.Sprintf("POST /photo/2f HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 15000\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n",
		standin.Host, id, tenantKey, size)
	if _, err := conn.Write([]byte(head)); err != nil {
		return err
	}
	for sent := 0; sent < size-slowBytes && time.Now().Before(until); {
		n := slowBytes
		if sent < fast {
			n = min(fastBytes, fast-sent)
		}
		if _, err := conn.Write(make([]byte, n)); err != nil {
			return err
		}
		sent += n
		time.Sleep(writeInterval)
	}
	return nil
}

// takesNone reports whether there was a span of stableTime in which the gateway, which said
// that it is ready, took no new channel though enough clients tried.
func (r *rig) takesNone(attempts []attempt, ready []time.Time) (bool, error) {
	begin := attempts[0].at
	for second := range int(playTime / time.Second) {
		asked, taken := 0, 0
		for _, a := range attempts {
			if int(a.at.Sub(begin)/time.Second) == second {
				asked++
				if a.taken {
					taken++
				}
			}
		}
		r.printf("second %d: %d of %d new channels taken", second, taken, asked)
	}
	broken := false
	for at := begin; at.Before(begin.Add(playTime - stableTime)); at = at.Add(100 * time.Millisecond) {
		clients, taken, readies := map[int]bool{}, 0, 0
		for _, a := range attempts {
			if a.at.Before(at) || !a.at.Before(at.Add(stableTime)) {
				continue
			}
			clients[a.client] = true
			if a.taken {
				taken++
			}
		}
		for _, t := range ready {
			if !t.Before(at) && t.Before(at.Add(stableTime)) {
				readies++
			}
		}
		if len(clients) >= minClients && taken == 0 && readies > 1 {
			broken = true
			r.printf("from second %.1f on for %v no new channel was taken of %d clients; it said %d times that it is ready", at.Sub(begin).Seconds(), stableTime, len(clients), readies)
			break
		}
	}
	if !attempts[0].taken {
		return false, fmt.Errorf("the first request was not answered")
	}
	return broken, nil
}
