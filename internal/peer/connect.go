package peer

import (
	"crypto/tls"
	"net"
	"slices"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

// dial connects a link, authenticates it and runs it until it ends.
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
	d := net.Dialer{Timeout: t.opts.HandshakeTimeout, KeepAlive: -1}
	raw, err := d.DialContext(t.ctx, "tcp", address)
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

// wrapTLS wraps a raw connection for the handshake, under its deadline.
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
			t.log.WithError(err).Warn("accept failed")
			continue
		}
		select {
		case t.handshakeSlots <- struct{}{}:
			t.group.Go(func() { t.accept(raw) })
		default:
			t.count.authFailures[authBusy].Add(1)
			raw.Close()
		}
	}
}

// accept authenticates an accepted connection and runs it until it ends.
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
	<-t.handshakeSlots
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

// serve registers an authenticated link and runs it until it ends.
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

// attach makes an authenticated link known under its peer's name and returns
// the links that it makes stale: those of an earlier instance of the peer, and
// those that the peer has given up as silent. False if the link was closed.
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

// detach takes a link out of use for sending; it stays open for reading.
func (t *TCP) detach(l *link) {
	l.mu.Lock()
	l.closing = true
	l.closingAt.CompareAndSwap(0, max(1, l.nanos()))
	l.mu.Unlock()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unlistLocked(l)
}

// unlistLocked needs t.mu. Another open connection to the peer takes l's place.
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

// closeLink closes a link, loses its queue and tells OnDown, unless the close was
// agreed on. Only the first call has an effect.
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
		level = logrus.DebugLevel // repeated for as long as a peer is away
	}
	t.log.WithField("of", name).WithField("reason", why).WithField("lost", lost).Log(level, "connection down")
	for _, f := range callbacks {
		f(name)
	}
	t.redial(l, name, why)
}

// recordDisconnect remembers that the next dial replaces a connection, and puts the
// dial off when this one never came up or broke soon after. A silent one took
// its time already. It needs t.mu.
func (t *TCP) recordDisconnect(l *link, name Name, why reason) {
	p := t.stateOf(name)
	p.replaceNext = p.replaceNext || l.session != nil
	if why == closedSilent || (l.session != nil && t.now().Sub(l.created) > minStableDuration) {
		p.backoff.Reset()
		return
	}
	p.dialAfter = t.now().Add(p.backoff.NextBackOff())
}

// redial opens a new connection at once in place of one that was in use, so
// that the peer's next message doesn't wait for the dial.
func (t *TCP) redial(l *link, to Name, why reason) {
	c, counted := t.count.redials[why]
	if !counted || !l.hasAppTraffic() {
		return
	}
	c.Add(1)
	_, _ = t.linkTo(to)
}

// recordAuthError counts a failed handshake by its reason; a failed connect is
// counted by its caller.
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
