package forward

import (
	"context"
	"io"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lycheekeel/lycheekeel/broker"
	"github.com/lycheekeel/lycheekeel/request"
)

// successor is another server's run that has brought the next events of a stream.
type successor struct {
	run     *run
	events  events
	pending []byte
	count   int // of events in pending
	eof     bool
}

// hedge is a second send of a stream whose server is silent, beside the first run.
type hedge struct {
	cancel context.CancelFunc
	done   chan struct{}
	// Set before done is closed: one of them.
	successor *successor
	refusal   error
}

// hedge asks another server for the rest of a silent stream while its own may still go
// on. Whichever brings the next event first goes on, and the other run is dropped then.
//
// What goes wrong where the silent run is given up before the other one has answered: the
// second send may fail for many reasons (the key was withdrawn, the server refuses or is
// leaving), and a stream is cut whose own server goes on a moment later.
func (s *stream) hedge() {
	x, first := s.x, &s.events
	reserved := x.reserve(s.run)
	if reserved == nil {
		first.from.conn.SetSilence(x.untilTheEnd())
		return
	}
	x.goOnAfter(first)
	base := x.ctx
	h := x.startHedge(reserved, first.from.conn.Abort)
	first.from.conn.SetSilence(x.untilTheEnd())
	whole, n, err := first.next()
	if err == nil || err == io.EOF {
		h.cancel()
	}
	<-h.done
	if h.successor != nil {
		s.giveUpRun(errSilent)
		s.takeOver(h.successor)
		return
	}
	h.cancel()
	x.ctx, x.denied = base, nil
	x.out.serverID = s.run.grant.Server().Name
	switch {
	case err == nil:
		x.server.count.hedgesSpared.Add(1)
		s.pending = whole
		s.took(n)
		s.boundSilence()
	case err == io.EOF:
		s.eof = true
	default:
		s.giveUpRun(err)
		s.cut(h.refusal)
	}
}

// errSilent: the server was silent until another one went on.
var errSilent = errors.New("silent until another server went on")

// startHedge begins the second send. abort ends what waits for the first run; it is called
// once the second one has brought an event. Until done is closed the exchange is the
// hedge's.
func (x *exchange) startHedge(reserved broker.Grant, abort func()) *hedge {
	h := &hedge{done: make(chan struct{})}
	x.ctx, h.cancel = context.WithCancel(x.ctx)
	x.server.count.hedges.Add(1)
	go func() {
		defer close(h.done)
		h.successor, h.refusal = x.resume(x.try(reserved))
		if h.successor != nil {
			abort()
		}
	}()
	return h
}

// resume gets the rest of a stream from another server, up to its next events. It is given
// how the latest send ended. The error is a refusal.
func (x *exchange) resume(r *reply, g *run, err error) (*successor, error) {
	for {
		if err == nil {
			var next *successor
			if next, err = x.nextEvents(r, g); err == nil {
				return next, nil
			}
		}
		if refusal := x.failed(err); refusal != nil {
			return nil, refusal
		}
		var refusal error
		if r, g, refusal = x.send(); refusal != nil {
			return nil, refusal
		}
		err = nil
	}
}

// nextEvents waits for another server's first events.
func (x *exchange) nextEvents(r *reply, g *run) (*successor, error) {
	if status := r.header.StatusCode(); status != fasthttp.StatusOK {
		r.ended = false
		r.finish()
		return nil, x.lostRun(g, errors.Errorf("status %d", status))
	}
	next := &successor{run: g, events: events{from: r}}
	if last, ok := parseID(x.out.lastEvent); ok {
		next.events.last, next.events.known = last, true
	}
	var err error
	next.pending, next.count, err = next.events.next()
	next.eof = err == io.EOF
	if err != nil && !next.eof {
		r.ended = false
		r.finish()
		return nil, x.lostRun(g, err)
	}
	return next, nil
}

// takeOver goes on with another server's run.
func (s *stream) takeOver(next *successor) {
	s.x.server.count.resumed.Add(1)
	s.run, s.over = next.run, false
	s.events, s.pending, s.eof = next.events, next.pending, next.eof
	s.took(next.count)
}

// giveUpRun closes the connection of the current run and frees its slot.
func (s *stream) giveUpRun(why error) error {
	s.drop()
	s.over = true
	return s.x.lostRun(s.run, why)
}

// cut ends a stream that can't be finished.
func (s *stream) cut(refusal error) {
	s.failed = errors.Wrap(errCut, refusal.Error())
	s.x.server.count.cut.Add(1)
}

// boundSilence makes the stream's silence show while another server could go on.
func (s *stream) boundSilence() {
	if s.x.attempts.CanSend() {
		s.events.from.conn.SetSilence(streamSilence)
	}
}

// untilTheEnd is longer than the request has left: its deadline ends what waits.
func (x *exchange) untilTheEnd() time.Duration { return time.Until(x.out.deadline) + time.Second }

// goOnAfter makes the next send ask for what follows the last event.
func (x *exchange) goOnAfter(e *events) {
	if e.known {
		x.out.lastEvent = strconv.FormatInt(e.last, 10)
	}
}

// reserveWait is how long a slot for a silent stream may take.
const reserveWait = 300 * time.Millisecond

// reserve gets a slot for a second send beside the run of a silent stream, and takes its
// retry; nil where either is not to be had, or where the key was withdrawn meanwhile.
func (x *exchange) reserve(silent *run) broker.Grant {
	if !x.attempts.CanSend() || x.stillAuthorized() != nil {
		return nil
	}
	x.demandAnother(silent)
	ctx, cancel := context.WithTimeout(x.ctx, reserveWait)
	defer cancel()
	x.demand.Candidates = x.pools("")
	grant, err := x.server.deps.Broker.Acquire(ctx, x.demand)
	if err != nil {
		return nil
	}
	if x.stillAuthorized() != nil {
		grant.ReturnUnused()
		return nil
	}
	if !x.server.deps.Budget(x.service).Take() {
		x.server.count.budgetDenied.Add(1)
		grant.ReturnUnused()
		return nil
	}
	return grant
}

// demandAnother makes what is asked of the owner another request than the one that still
// runs, at another server.
func (x *exchange) demandAnother(running *run) {
	spec := *x.spec
	x.hedges++
	spec.ID += request.ID("-" + strconv.Itoa(x.hedges))
	x.demand.Spec = &spec
	x.demand.SentTo = append(x.demand.SentTo, running.grant.Server().Name)
}
