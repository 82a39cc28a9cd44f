package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/lycheekeel/lycheekeel/platform/standin"
)

const (
	keptClients = 16
	// keptBody is the length of a body; requestsEach is how many requests a client sends.
	keptBody, requestsEach = 100_000, 3
	// routeTime is the timeout_ms of the route, answerSlack what the rule adds to it.
	routeTime, answerSlack = 4 * time.Second, 500 * time.Millisecond
	// minUnanswered is the least number of such requests for the rule.
	minUnanswered = 8
	keptDeadline  = 15 * time.Second
)

// playKeptChannels lets clients send requests with bodies, one after the other. Each keeps its
// channel; without the trouble each request gets a channel of its own.
func playKeptChannels(r *rig) (bool, error) {
	config := &standin.Configuration{
		Tenant: tenantName, Keys: []string{tenantKey}, MaxBodyBytes: bodyLimit,
		Routes: []standin.Route{
			{Prefix: "/share/", Type: "non_idempotent", Service: "snag-app", MaxAttempts: 1, TimeoutMs: int(routeTime.Milliseconds()), LatencyTargetMs: 300},
		},
		Engines: map[string]int{}, PlainServices: []string{"snag-app"},
	}
	if err := r.startServers(3, "snag-app", 6, &standin.Server{Delay: 5 * time.Millisecond}); err != nil {
		return false, err
	}
	r.store.PutConfiguration(config)
	if err := r.startGateways(1); err != nil {
		return false, err
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	unanswered, late, served, sent := 0, 0, 0, 0
	for client := range keptClients {
		wg.Go(func() {
			c := &channel{kept: r.trouble, gateway: r.gateways[0]}
			defer c.close()
			for n := range requestsEach {
				a := r.post(c, fmt.Sprintf("post-%d-%d", client, n))
				mu.Lock()
				sent++
				if a.served() {
					served++
				}
				if a.took > routeTime {
					unanswered++
				}
				if a.took > routeTime+answerSlack {
					late++
				}
				mu.Unlock()
				if !a.served() {
					return
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
	r.logRuns()
	r.printf("%d requests sent, %d served; %d had no answer at the route's timeout of %v, %d of them none %v later", sent, served, unanswered, routeTime, late, answerSlack)
	if served < keptClients {
		return false, fmt.Errorf("only %d requests were served", served)
	}
	return unanswered >= minUnanswered && 2*late > unanswered, nil
}

// channel is a client's channel. A kept one serves several requests.
type channel struct {
	gateway *gateway
	kept    bool
	conn    net.Conn // nil: not open
	reader  *bufio.Reader
}

func (c *channel) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// post sends one request, in one write, and reads the answer.
func (r *rig) post(c *channel, id string) (a answer) {
	began := time.Now()
	r.logf("%s is sent with a body of %d bytes", id, keptBody)
	defer func() {
		a.took = time.Since(began)
		r.logf("%s: %v", id, a)
		if !c.kept || a.err != nil {
			c.close()
		}
	}()
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.gateway.listen, connectTimeout)
		if err != nil {
			return answer{err: err}
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(began.Add(keptDeadline))
	x := call{method: http.MethodPost, path: "/share/2f", id: id, body: strings.Repeat("x", keptBody), deadline: keptDeadline}
	if _, err := io.WriteString(c.conn, x.text()); err != nil {
		return answer{err: err}
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	n, err := io.Copy(io.Discard, resp.Body)
	return answer{status: resp.StatusCode, complete: err == nil, bytes: int(n), err: err}
}
