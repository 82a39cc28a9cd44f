package broker

import (
	"sync/atomic"
	"time"

	"github.com/lycheekeel/lycheekeel/internal/mailbox"
	"github.com/lycheekeel/lycheekeel/internal/poolhost"
	"github.com/lycheekeel/lycheekeel/member"
	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/lycheekeel/lycheekeel/request"
)

// link is the entry's side of one pool: the requests that wait for it and run
// in it, and the session with whoever schedules it. All of it but box, brief
// and quiet is touched only by the mailbox's handler.
type link struct {
	entry *Entry
	pool  string
	box   *mailbox.Mailbox[message]
	brief atomic.Pointer[briefAt]
	// quiet is set while time brings the link nothing to do, so that the many
	// pools that an entry does not use cost no ticks.
	quiet atomic.Bool

	now        time.Time
	waiting    map[request.ID]*waiter
	running    map[pool.GrantID]*grant
	nextExpiry time.Time // no waiter expires before it

	session session
	counted bool // among the entry's open sessions
	// lastEpoch and lastGrant are those of the session before.
	lastEpoch, lastGrant uint64
	// out is what the open session has yet to send; progress is kept apart
	// and goes along, the newest report of each grant.
	out      []pool.Event
	progress map[pool.GrantID]pool.Progress
	unacked  []sentRelease
	sendAt   time.Time // nothing is sent before it: the send queue was full

	// without is since when requests have had no open session; retryAt is
	// when a hello may be sent again; announced asks for a session although
	// nothing waits or runs.
	without time.Time
	retryAt time.Time
	busyAt  time.Time
	// unanswered counts the hellos in a row that got no answer in time.
	unanswered int
	announced  bool
	// ownerView is the view by which ownerName was found.
	ownerView *member.View
	ownerName string
	// share is open in degraded mode, and probe then looks for the owner.
	share *poolhost.Share
	probe session
}

// message is one thing for a link to do.
type message interface{ apply(l *link) }

func newLink(e *Entry, p string) *link {
	l := &link{
		entry: e, pool: p,
		waiting:  map[request.ID]*waiter{},
		running:  map[pool.GrantID]*grant{},
		progress: map[pool.GrantID]pool.Progress{},
	}
	l.box = mailbox.New(e.cfg.Spawn, l.handle)
	return l
}

func (l *link) handle(batch []message) {
	if now := l.entry.cfg.Now(); now.After(l.now) {
		l.now = now
	}
	for _, m := range batch {
		m.apply(l)
	}
	l.flush()
	l.noteState()
	l.quiet.Store(l.session.state == sessionClosed && l.share == nil && !l.needed())
}

// acquireMessage gives the link a waiter, new or redirected.
type acquireMessage struct{ w *waiter }

func (m acquireMessage) apply(l *link) {
	w := m.w
	if l.expired(w) {
		l.refuseExpired(w)
		return
	}
	l.waiting[w.id()] = w
	if !w.expires.IsZero() && (l.nextExpiry.IsZero() || w.expires.Before(l.nextExpiry)) {
		l.nextExpiry = w.expires
	}
	l.busyAt = l.now
	if l.session.open() {
		l.out = append(l.out, w.enqueue(l.now))
		return
	}
	l.connect()
}

// withdrawMessage takes a waiter back whose caller left. A grant that crosses
// it finds nobody waiting and is answered as not dispatched.
type withdrawMessage struct{ w *waiter }

func (m withdrawMessage) apply(l *link) {
	w := m.w
	if other := w.link.Load(); other != l {
		other.box.Post(m) // redirected meanwhile
		return
	}
	l.entry.count.withdrawn.Add(1)
	if w.granted != nil {
		w.granted.Return()
		return
	}
	if l.waiting[w.id()] == w {
		l.drop(w)
	}
}

// drop takes a waiter out and tells the owner.
func (l *link) drop(w *waiter) {
	delete(l.waiting, w.id())
	if l.session.open() {
		l.out = append(l.out, pool.Withdraw{Request: w.id()})
	}
}

// releaseMessage ends a grant.
type releaseMessage struct{ ev pool.Release }

func (m releaseMessage) apply(l *link) {
	delete(l.running, m.ev.Grant)
	delete(l.progress, m.ev.Grant)
	l.busyAt = l.now
	if l.session.open() {
		l.out = append(l.out, m.ev)
		return
	}
	l.unacked = append(l.unacked, sentRelease{ev: m.ev})
}

// progressMessage tells how a running request does.
type progressMessage struct{ ev pool.Progress }

func (m progressMessage) apply(l *link) {
	g := l.running[m.ev.Grant]
	if g == nil {
		return
	}
	if m.ev.FirstToken > 0 && !g.firstTold && l.session.open() {
		// The scheduler's limits and its holds for prefixes go by it.
		g.firstTold, g.toldTokens = true, m.ev.Tokens
		l.out = append(l.out, m.ev)
		return
	}
	l.progress[m.ev.Grant] = mergeProgress(l.progress[m.ev.Grant], m.ev, g.toldTokens)
}

// takeProgress moves the reports that have come to the events to be sent.
func (l *link) takeProgress() {
	for id, p := range l.progress {
		if g := l.running[id]; g != nil {
			g.toldTokens = p.Tokens
		}
		l.out = append(l.out, p)
	}
	clear(l.progress)
}

// mergeProgress makes one report of two that were not sent yet: PerToken is a
// mean since the last report sent, at told tokens, so the newer mean alone
// would lose the older one's slow tokens.
func mergeProgress(old, newer pool.Progress, told int) pool.Progress {
	if old.PerToken == 0 || newer.Tokens <= old.Tokens {
		return newer
	}
	if newer.PerToken == 0 {
		newer.PerToken = old.PerToken
		return newer
	}
	was, more := time.Duration(max(1, old.Tokens-told)), time.Duration(newer.Tokens-old.Tokens)
	newer.PerToken = (old.PerToken*was + newer.PerToken*more) / (was + more)
	return newer
}

// expired tells whether a waiter's deadline has passed.
func (l *link) expired(w *waiter) bool {
	return !w.expires.IsZero() && !l.now.Before(w.expires)
}

// expire refuses what has expired, also while no owner can be reached.
func (l *link) expire() {
	if l.nextExpiry.IsZero() || l.now.Before(l.nextExpiry) {
		return
	}
	l.nextExpiry = time.Time{}
	for _, w := range l.waiting {
		if l.expired(w) {
			l.drop(w)
			l.refuseExpired(w)
			continue
		}
		if !w.expires.IsZero() && (l.nextExpiry.IsZero() || w.expires.Before(l.nextExpiry)) {
			l.nextExpiry = w.expires
		}
	}
}

func (l *link) refuseExpired(w *waiter) {
	if l.session.open() || l.without.IsZero() {
		w.done <- result{err: l.entry.refuse(request.ReasonExpired, "deadline passed while waiting for a slot")}
		return
	}
	w.done <- result{err: l.entry.refuse(request.ReasonNoOwner, "deadline passed while the pool's owner was out of reach")}
}
