package relay

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/lycheekeel/lycheekeel/internal/peer"
	"github.com/lycheekeel/lycheekeel/internal/relay/wire"
)

const (
	// serveDialTimeout bounds a connection that a peer asks for, so that the answer arrives
	// within answerTimeout.
	serveDialTimeout = 150 * time.Millisecond
	// checkDelay is how long a connection may take to open before another server is tried
	// beside it.
	checkDelay = 30 * time.Millisecond
	// maxServersChecked bounds the other servers that are tried.
	maxServersChecked = 2
)

// handleOpen answers a peer that asks for a connection. It is a peer.StreamHandler.
func (r *Relay) handleOpen(ctx context.Context, from peer.Name, payload []byte) ([]byte, func(net.Conn)) {
	var open wire.Open
	if err := proto.Unmarshal(payload, &open); err != nil {
		r.log.WithField("from", from).WithError(err).Warn("A request for a connection can't be read.")
		return r.opened(wire.Result_RESULT_UNKNOWN), nil
	}
	conn, x := r.connectFor(ctx, open.Address)
	if x != wire.Result_RESULT_CONNECTED {
		r.logRelayed(&open, from, logrus.Fields{"result": x.String()})
		return r.opened(x), nil
	}
	return r.opened(x), func(stream net.Conn) {
		defer r.ended()
		r.splice(stream, conn, &open, from)
	}
}

func (r *Relay) opened(x result) []byte {
	b, err := proto.Marshal(&wire.Opened{Result: x})
	if err != nil {
		r.log.WithError(err).Error("Encoding an answer failed.")
	}
	return b
}

// connectFor opens a direct connection for a peer. If it is connected, ended must be called
// at the end.
func (r *Relay) connectFor(ctx context.Context, address string) (net.Conn, result) {
	if _, ok := r.cfg.Servers()[address]; !ok {
		return nil, wire.Result_RESULT_NO_SERVER
	}
	open := r.relayed.Add(1)
	conn, x := net.Conn(nil), wire.Result_RESULT_BUSY
	if !r.draining.Load() && open <= int64(r.cfg.MaxRelayed) {
		conn, x = r.connectOrCheck(ctx, address)
	}
	if x != wire.Result_RESULT_CONNECTED {
		r.ended()
	}
	return conn, x
}

// connectOrCheck opens a direct connection, or tells whether this daemon reaches another
// server.
func (r *Relay) connectOrCheck(ctx context.Context, address string) (net.Conn, result) {
	if !r.paths.takeProbe(address, time.Now()) {
		return nil, wire.Result_RESULT_CUT_OFF
	}
	ctx, cancel := context.WithTimeout(ctx, serveDialTimeout)
	defer cancel()
	check := &reachCheck{done: make(chan struct{})}
	late := time.AfterFunc(checkDelay, func() { r.check(ctx, address, check) })
	conn, err := r.cfg.Direct(ctx, address)
	if err == nil {
		late.Stop()
		r.reachedAgain(address)
		return conn, wire.Result_RESULT_CONNECTED
	}
	if late.Stop() {
		r.check(ctx, address, check)
	} else {
		<-check.done
	}
	if check.reached {
		return nil, wire.Result_RESULT_UNREACHABLE
	}
	r.paths.failed(address, "", time.Now())
	return nil, wire.Result_RESULT_CUT_OFF
}

// reachCheck is a check of whether this daemon reaches servers at all.
type reachCheck struct {
	done    chan struct{} // closed at the end
	reached bool          // set before done is closed
}

// check tries some servers other than one that can't be reached.
//
// Without it, a daemon that is partitioned from all servers, too, would confirm that a
// server is gone which all others reach.
func (r *Relay) check(ctx context.Context, unreachable string, c *reachCheck) {
	defer close(c.done)
	checkCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), serveDialTimeout/2)
	defer cancel()
	found, left := make(chan bool, maxServersChecked), 0
	for address := range r.cfg.Servers() {
		if address == unreachable || left == maxServersChecked {
			continue
		}
		left++
		go func() { found <- r.reaches(checkCtx, address) }()
	}
	for ; left > 0 && !c.reached; left-- {
		c.reached = <-found
	}
}

func (r *Relay) reaches(ctx context.Context, address string) bool {
	conn, err := r.cfg.Direct(ctx, address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// splice passes bytes on between a peer's stream and a server until one of them ends. A
// stream whose server has sent all waits for the peer's end: yamux drops what the peer has
// not read a few seconds after the stream is closed.
func (r *Relay) splice(stream, conn net.Conn, open *wire.Open, from peer.Name) {
	start := time.Now()
	r.count.relayed.Add(1)
	server, done := &serverConn{Conn: conn}, make(chan struct{})
	go func() {
		defer close(done)
		_, _ = io.Copy(server, stream) // an error ends the connection like an end does
		_ = server.Close()
	}()
	received, err := copyChunks(stream, server)
	if err != nil {
		_ = stream.SetReadDeadline(start)
		_ = stream.Close()
	}
	<-done
	_ = stream.Close()
	r.logRelayed(open, from, logrus.Fields{
		"result": wire.Result_RESULT_CONNECTED.String(), "bytes": received, "total_ms": time.Since(start).Milliseconds(), "end": endOf(err),
	})
}

// endOf returns how a relayed connection has ended, for the log.
func endOf(err error) string {
	if err == nil {
		return "ended by the server"
	}
	return err.Error()
}

func (r *Relay) logRelayed(open *wire.Open, from peer.Name, fields logrus.Fields) {
	omitted, ok := r.logLimiter.Allow(time.Now())
	if !ok {
		return
	}
	r.log.WithFields(fields).WithFields(logrus.Fields{"request": open.Request, "address": open.Address, "from": from, "omitted": omitted}).Info("Relayed for a peer.")
}

// ended notes that a connection for a peer has ended.
func (r *Relay) ended() {
	r.relayed.Add(-1)
	r.wakeWaiters()
}

// wakeWaiters wakes Wait. It holds the mutex, so that Wait is not between its look at what
// has changed and its wait.
func (r *Relay) wakeWaiters() {
	r.idleMu.Lock()
	defer r.idleMu.Unlock()
	r.idle.Broadcast()
}

// Drain makes the relay refuse further connections of peers.
func (r *Relay) Drain() { r.draining.Store(true) }

// Wait waits until the connections of peers have ended, or ctx ends.
func (r *Relay) Wait(ctx context.Context) error {
	stop := context.AfterFunc(ctx, r.wakeWaiters)
	defer stop()
	r.idleMu.Lock()
	defer r.idleMu.Unlock()
	for r.relayed.Load() > 0 && ctx.Err() == nil {
		r.idle.Wait()
	}
	return ctx.Err()
}
