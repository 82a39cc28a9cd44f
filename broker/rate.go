package broker

import "github.com/lycheekeel/lycheekeel/pool"

// rateLimitedMessage reports a limit on a server's requests per second that an answer has
// named.
type rateLimitedMessage struct{ ev pool.RateLimited }

func (m rateLimitedMessage) apply(l *link) {
	g := l.running[m.ev.Grant]
	if g == nil {
		return
	}
	g.namedRate = true
	l.rates[m.ev.Server] = m.ev.PerSecond
	if l.session.open() {
		l.outbox = append(l.outbox, m.ev)
	}
}

// endRate forgets the limit of a server that has answered a grant without naming one.
func (l *link) endRate(g *grant) {
	if g != nil && !g.namedRate {
		delete(l.rates, g.server.Name)
	}
}

// reportRates tells a new owner the limits that answers have named, and forgets those of
// servers that are gone.
func (l *link) reportRates() {
	for name, perSecond := range l.rates {
		if _, ok := l.currentServer(name); !ok {
			delete(l.rates, name)
			continue
		}
		l.outbox = append(l.outbox, pool.RateLimited{Server: name, PerSecond: perSecond})
	}
}
