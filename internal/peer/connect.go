package peer

import (
	"context"
	"crypto/tls"
	"net"
	"slices"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

// dial connects and authenticates a link and serves it until it is closed.
func (t *TCP) dial(l *link, address string, replaces bool) {
	res, conn, err := t.dialAndAuthenticate(l, address, replaces)
	if err != nil {
		t.recordAuthError(err, address)
		t.closeLink(l, closedDialFailed)
		return
	}
	session, err := newSession(conn, yamux.Client)
	if err != nil {
		t.closeLink(l, closedDialFailed)
		return
	}
	t.serve(l, res, session)
}

func (t *TCP) dialAndAuthenticate(l *link, address string, replaces bool) (handshakeResult, *tls.Conn, error) {
	ctx, cancel := context.WithTimeout(t.ctx, t.opts.HandshakeTimeout)
	defer cancel()
	raw, err := t.opts.Dial(ctx, address)
	if err != nil {
		return handshakeResult{}, nil, err
	}
	conn := t.wrapTLS(l, raw, tls.Client)
	res, err := t.auth.dial(conn, l.dialedName, replaces)
	if err != nil {
		raw.Close()
		return res, nil, err
	}
	return res, conn, raw.SetReadDeadline(noDeadline)
}

// dialTCP is the DialFunc of TCP. The transport's own pings replace keep-alive.
func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{KeepAlive: -1}
	return d.DialContext(ctx, "tcp", address)
}

// wrapTLS wraps a raw connection for the handshake and sets the handshake's deadline.
func (t *TCP) wrapTLS(l *link, raw net.Conn, wrap func(net.Conn, *tls.Config) *tls.Conn) *tls.Conn {
	l.mu.Lock()
	l.rawConn = raw
	if l.closed {
		raw.Close()
	}
	l.mu.Unlock()
	_ = raw.SetReadDeadline(t.now().Add(t.opts.HandshakeTimeout))
	return wrap(&countedConn{Conn: raw, link: l}, t.tls)
}

func (t *TCP) acceptLoop() {
	for {
		raw, err := t.listener.Accept()
		if err != nil {
			if t.ctx.Err() != nil {
				return
			}
			t.log.WithError(err).Warn("Accepting a connection failed.")
			continue
		}
		closed := t.handshakes.begin(raw, t.now())
		if closed != nil {
			t.count.authFailures[authBusy].Add(1)
			closed.Close()
		}
		if closed != raw {
			t.group.Go(func() { t.accept(raw) })
		}
	}
}

// accept authenticates an accepted connection and serves it until it is closed.
func (t *TCP) accept(raw net.Conn) {
	l := newLink(t, "", false)
	t.mu.Lock()
	closed := t.closed
	t.links[l] = struct{}{}
	t.mu.Unlock()
	conn := t.wrapTLS(l, raw, tls.Server)
	if closed {
		raw.Close()
	}
	res, err := t.auth.accept(conn)
	t.handshakes.end(raw)
	if err == nil {
		err = raw.SetReadDeadline(noDeadline)
	}
	if err != nil {
		t.recordAuthError(err, raw.RemoteAddr().String())
		t.closeLink(l, closedRefused)
		return
	}
	t.count.accepts.Add(1)
	session, err := newSession(conn, yamux.Server)
	if err != nil {
		t.closeLink(l, closedRefused)
		return
	}
	t.serve(l, res, session)
}

// serve registers an authenticated link and serves it until it is closed.
func (t *TCP) serve(l *link, res handshakeResult, session *session) {
	stale, ok := t.attach(l, res, session)
	for s, why := range stale {
		t.closeLink(s, why)
	}
	if !ok {
		session.Close()
		return
	}
	l.markReceived()
	close(l.up)
	t.closeLink(l, l.run())
}

// attach registers an authenticated link under its peer's name. It returns the
// links that become stale: those of an earlier instance of the peer, and those
// that the peer replaces because they were silent. It returns false if the link
// was closed in the meantime.
func (t *TCP) attach(l *link, res handshakeResult, session *session) (map[*link]reason, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l.peer, l.instance, l.version, l.session = res.peer, res.instance, res.version, session
	if _, ok := t.links[l]; !ok {
		return nil, false
	}
	p := t.stateOf(l.peer)
	stale := map[*link]reason{}
	for other := range t.links {
		if other == l || other.session == nil || other.peer != l.peer {
			continue
		}
		if other.instance != l.instance {
			stale[other] = closedRestarted
		} else if res.replaces {
			stale[other] = closedReplaced
		}
	}
	p.replaceNext = false
	switch {
	case p.current == nil:
		p.current = l
	case p.current != l:
		p.others = append(p.others, l)
	}
	return stale, true
}

// detach stops sending new messages on a link, which stays open for reading.
func (t *TCP) detach(l *link) {
	l.mu.Lock()
	l.closing = true
	l.closingAt.CompareAndSwap(0, max(1, l.nanos()))
	l.mu.Unlock()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unlistLocked(l)
}

// unlistLocked removes a link from its peer. Another open connection to the peer
// replaces it. The caller holds t.mu.
func (t *TCP) unlistLocked(l *link) {
	for _, key := range []Name{l.dialedName, l.peer} {
		p, ok := t.peers[key]
		if !ok {
			continue
		}
		p.others = slices.DeleteFunc(p.others, func(o *link) bool { return o == l })
		if p.current != l {
			continue
		}
		p.current = nil
		if len(p.others) > 0 {
			p.current, p.others = p.others[0], p.others[1:]
		}
	}
}

// closeLink closes a link, drops its queue and calls the OnDown functions, unless
// both sides agreed on the close. Only the first call has an effect.
func (t *TCP) closeLink(l *link, why reason) {
	first, lost := l.close()
	if !first {
		return
	}
	graceful := why == closedIdle || (why == closedBroken && l.goAwayReceived.Load())
	if graceful {
		why = closedIdle
	}
	t.mu.Lock()
	delete(t.links, l)
	t.unlistLocked(l)
	name := l.peer
	if name == "" {
		name = l.dialedName
	}
	if name != "" && !graceful {
		t.recordDisconnect(l, name, why)
	}
	callbacks := slices.Clone(t.onDown)
	closed := t.closed
	t.mu.Unlock()

	t.count.closed[why].Add(1)
	t.count.drops[dropLinkDown].Add(int64(lost))
	if name == "" || graceful || closed {
		return
	}
	level := logrus.InfoLevel
	if why == closedDialFailed {
		level = logrus.DebugLevel // repeated while a peer is unreachable
	}
	t.log.WithField("of", name).WithField("reason", why).WithField("lost", lost).Log(level, "Connection closed.")
	for _, f := range callbacks {
		f(name)
	}
	t.redial(l, name, why)
}

// recordDisconnect records that the next dial replaces a connection. If the dial
// failed or the connection broke soon after it, the next dial is delayed by the
// backoff. A silent connection needs none, since detecting silence took time
// already. The caller holds t.mu.
func (t *TCP) recordDisconnect(l *link, name Name, why reason) {
	p := t.stateOf(name)
	p.replaceNext = p.replaceNext || l.session != nil
	if why == closedSilent || (l.session != nil && t.now().Sub(l.created) > minStableDuration) {
		p.backoff.Reset()
		return
	}
	p.dialAfter = t.now().Add(p.backoff.NextBackOff())
}

// redial immediately replaces a connection that was in use, so that the next message
// to the peer need not wait for the dial.
func (t *TCP) redial(l *link, to Name, why reason) {
	c, counted := t.count.redials[why]
	if !counted || !l.hasAppTraffic() {
		return
	}
	c.Add(1)
	_, _ = t.linkTo(to)
}

// recordAuthError counts and logs a failed handshake by its reason. Callers count
// a failed dial.
func (t *TCP) recordAuthError(err error, address string) {
	var ae *authError
	if !errors.As(err, &ae) {
		return
	}
	if c, ok := t.count.authFailures[ae.reason]; ok {
		c.Add(1)
	}
	if t.ctx.Err() != nil {
		return
	}
	t.authLogLimiter.Do(func() {
		t.log.WithField("address", address).WithField("reason", ae.reason).Warn(ae.err.Error())
	})
}
