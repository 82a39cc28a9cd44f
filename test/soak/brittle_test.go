package soak

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/lycheekeel/lycheekeel/platform/standin"
)

// The load and the bounds of the tests of brittle servers.
const (
	brittleRejections = 3                // per second that a server bears
	brittleRoom       = 3                // of eight slots
	brittleNotice     = 3 * time.Second  // from the first answer that says so until there is less room
	brittleSpan       = 10 * time.Second // with less room
	brittleRestart    = 3 * time.Second  // until a server that fell over is back
	// The servers fall over no more often than allowedFalls and one in fallsOneIn of their number.
	allowedFalls, fallsOneIn = 2, 10
	// The fleet serves at least this share of what the room allows.
	brittleLeastServed = 0.5
)

// Guards against: servers that say that they are brittle are sent more than they have room
// for until they fall over, again and again.
func TestBrittleServersFallOver(t *testing.T) {
	for _, x := range []struct {
		name, service, path string
		servers             int
		interval            time.Duration // between two requests
		eventInterval       time.Duration
		delay               time.Duration
	}{
		{"streams", "llm", resumePath(0), 8, 16 * time.Millisecond, 25 * time.Millisecond, 0},
		{"calls", "app", "/again/", 6, 4 * time.Millisecond, 5 * time.Millisecond, 150 * time.Millisecond},
	} {
		t.Run(x.name, func(t *testing.T) {
			f := startFleet(t, fleetOptions{nodes: 6, eventInterval: x.eventInterval, resumeTimeout: crashingTimeout}, 0)
			for _, s := range f.servers {
				f.store.Remove(standin.KindServers, s.ID)
			}
			ctx, cancel := context.WithTimeout(context.Background(), time.Second+brittleNotice+brittleSpan)
			defer cancel()
			var servers []*standin.Server
			for range x.servers {
				servers = append(servers, f.addFallingServer(ctx, x.service, x.delay))
			}
			c := &callers{}
			var wg conc.WaitGroup
			wg.Go(func() { c.sendAtInterval(ctx, x.interval, f.nodes, func(int) string { return x.path }) })
			sleep(ctx, time.Second)
			for _, s := range servers {
				s.SetBrittle(brittleRejections, 0)
			}
			sleep(ctx, brittleNotice)
			from := time.Now()
			for _, s := range servers {
				s.SetBrittle(brittleRejections, brittleRoom)
			}
			wg.Wait()
			falls, away, ran := 0, 0, 0
			for _, s := range servers {
				fell, turnedAway := s.Falls()
				falls, away, ran = falls+fell, away+turnedAway, ran+len(s.Arrivals())
			}
			f.reportServed(c)
			served := c.servedFrom(from)
			runTime := x.delay + 30*x.eventInterval
			if x.delay > 0 {
				runTime = x.delay
			}
			room := float64(x.servers*brittleRoom) * brittleSpan.Seconds() / runTime.Seconds()
			offered := brittleSpan.Seconds() / x.interval.Seconds()
			t.Logf("%d falls, %d turned away, %d ran; %d served with less room, which has room for %.0f of %.0f", falls, away, ran, served, room, offered)
			if allowed := allowedFalls + x.servers/fallsOneIn; falls > allowed {
				t.Errorf("the servers fell over %d times, allowed %d", falls, allowed)
			}
			if least := brittleLeastServed * min(room, offered); float64(served) < least {
				t.Errorf("%d requests were served, at least %.0f fit", served, least)
			}
		})
	}
}

// servedFrom counts the requests that were sent since a time and served.
func (c *callers) servedFrom(from time.Time) int {
	n := 0
	for _, x := range c.all {
		if x.sentAt.After(from) && x.status == http.StatusOK && x.complete {
			n++
		}
	}
	return n
}

// addFallingServer starts and registers a server that is back some time after it has fallen
// over.
func (f *fleet) addFallingServer(ctx context.Context, service string, delay time.Duration) *standin.Server {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	f.serversCreated++
	s := &standin.Server{ID: serverID(f.serversCreated), Events: 30, EventInterval: f.eventInterval, Delay: delay}
	address := ln.Addr().String()
	s.OnFall(func() {
		time.AfterFunc(brittleRestart, func() {
			if ln, err := net.Listen("tcp", address); err == nil && ctx.Err() == nil {
				go func() { _ = s.Serve(context.Background(), ln) }()
			}
		})
	})
	go func() { _ = s.Serve(context.Background(), ln) }()
	f.store.PutServer(s.ID, service, address, "ready", 8)
	return s
}
