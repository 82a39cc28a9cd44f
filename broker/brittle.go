package broker

import "github.com/lycheekeel/lycheekeel/pool"

// brittleMessage reports that an answer has named its server brittle.
type brittleMessage struct{ ev pool.Brittle }

func (m brittleMessage) apply(l *link) {
	g := l.running[m.ev.Grant]
	if g == nil {
		return
	}
	g.namedBrittle = true
	l.brittle[m.ev.Server] = m.ev.Rejections
	if l.session.open() {
		l.outbox = append(l.outbox, m.ev)
	}
}

// endBrittle forgets that a server is brittle that has answered a grant without saying so.
func (l *link) endBrittle(g *grant) {
	if g != nil && !g.namedBrittle {
		delete(l.brittle, g.server.Name)
	}
}

// reportBrittle tells a new owner the servers whose answers have named them brittle, and
// forgets those that are gone.
func (l *link) reportBrittle() {
	for name, rejections := range l.brittle {
		if _, ok := l.currentServer(name); !ok {
			delete(l.brittle, name)
			continue
		}
		l.outbox = append(l.outbox, pool.Brittle{Server: name, Rejections: rejections})
	}
}
