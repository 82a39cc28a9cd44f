package broker

import "github.com/lycheekeel/lycheekeel/pool"

// named holds, by server, what the servers' answers have named, for the pool's next owner.
type named[T any] map[string]T

// end forgets what a server has named if it has answered a grant without naming it.
func (n named[T]) end(g *grant, again bool) {
	if !again {
		delete(n, g.server.Name)
	}
}

// report tells a new owner what servers have named, and forgets those that are gone.
func (n named[T]) report(l *link, event func(server string, value T) pool.Event) {
	for name, value := range n {
		if _, ok := l.currentServer(name); !ok {
			delete(n, name)
			continue
		}
		l.outbox = append(l.outbox, event(name, value))
	}
}

// rateLimitedMessage reports a limit on a server's requests per second that an answer has
// named.
type rateLimitedMessage struct{ ev pool.RateLimited }

func (m rateLimitedMessage) apply(l *link) {
	if g := l.running[m.ev.Grant]; g != nil {
		g.namedRate = true
		l.rates[m.ev.Server] = m.ev.PerSecond
		l.sendIfOpen(m.ev)
	}
}

// brittleMessage reports that an answer has named its server brittle.
type brittleMessage struct{ ev pool.Brittle }

func (m brittleMessage) apply(l *link) {
	if g := l.running[m.ev.Grant]; g != nil {
		g.namedBrittle = true
		l.brittle[m.ev.Server] = m.ev.Rejections
		l.sendIfOpen(m.ev)
	}
}

// sendIfOpen sends an event with the next batch of the session, if there is one.
func (l *link) sendIfOpen(ev pool.Event) {
	if l.session.open() {
		l.outbox = append(l.outbox, ev)
	}
}

// endNamed forgets what a server has not named again in the answer to a grant.
func (l *link) endNamed(g *grant) {
	if g != nil {
		l.rates.end(g, g.namedRate)
		l.brittle.end(g, g.namedBrittle)
	}
}

// reportNamed tells a new owner what answers have named.
func (l *link) reportNamed() {
	l.rates.report(l, func(server string, perSecond float64) pool.Event {
		return pool.RateLimited{Server: server, PerSecond: perSecond}
	})
	l.brittle.report(l, func(server string, rejections int) pool.Event {
		return pool.Brittle{Server: server, Rejections: rejections}
	})
}
