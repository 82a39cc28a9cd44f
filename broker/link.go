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
	brief atomic.Pointer[cachedBrief]
	// idle is set while time brings the link nothing to do, so that the many
	// pools that an entry does not use cost no ticks.
	idle atomic.Bool

	now        time.Time
	waiting    map[request.ID]*waiter
	running    map[pool.GrantID]*grant
	nextExpiry time.Time // no waiter expires before it

	session     session
	countedOpen bool // among the entry's open sessions
	// lastEpoch and lastGrant are those of the session before.
	lastEpoch, lastGrant uint64
	// outbox is what the open session has yet to send; progress is kept apart
	// and goes along, the newest report of each grant.
	outbox          []pool.Event
	pendingProgress map[pool.GrantID]pool.Progress
	unackedReleases []unackedRelease
	sendAfter       time.Time // nothing is sent before it: the send queue was full

	// disconnectedSince is since when requests have had no open session; retryAt is
	// when a hello may be sent again; announced asks for a session although
	// nothing waits or runs.
	disconnectedSince time.Time
	retryAt           time.Time
	lastUsed          time.Time
	// unansweredHellos counts the hellos in a row that got no answer in time.
	unansweredHellos int
	openRequested    bool
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
		waiting:         map[request.ID]*waiter{},
		running:         map[pool.GrantID]*grant{},
		pendingProgress: map[pool.GrantID]pool.Progress{},
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
	l.updateSessionState()
	l.idle.Store(l.session.state == sessionClosed && l.share == nil && !l.needsSession())
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
	l.lastUsed = l.now
	if l.session.open() {
		l.outbox = append(l.outbox, w.enqueueEvent(l.now))
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
	l.entry.counters.withdrawn.Add(1)
	if w.granted != nil {
		w.granted.ReturnUnused()
		return
	}
	if l.waiting[w.id()] == w {
		l.removeWaiter(w)
	}
}

// removeWaiter takes a waiter out and tells the owner.
func (l *link) removeWaiter(w *waiter) {
	delete(l.waiting, w.id())
	if l.session.open() {
		l.outbox = append(l.outbox, pool.Withdraw{Request: w.id()})
	}
}

// releaseMessage ends a grant.
type releaseMessage struct{ ev pool.Release }

func (m releaseMessage) apply(l *link) {
	delete(l.running, m.ev.Grant)
	delete(l.pendingProgress, m.ev.Grant)
	l.lastUsed = l.now
	if l.session.open() {
		l.outbox = append(l.outbox, m.ev)
		return
	}
	l.unackedReleases = append(l.unackedReleases, unackedRelease{ev: m.ev})
}

// progressMessage tells how a running request does.
type progressMessage struct{ ev pool.Progress }

func (m progressMessage) apply(l *link) {
	g := l.running[m.ev.Grant]
	if g == nil {
		return
	}
	if m.ev.FirstToken > 0 && !g.firstTokenReported && l.session.open() {
		// The scheduler's limits and its holds for prefixes go by it.
		g.firstTokenReported, g.reportedTokens = true, m.ev.Tokens
		l.outbox = append(l.outbox, m.ev)
		return
	}
	l.pendingProgress[m.ev.Grant] = mergeProgress(l.pendingProgress[m.ev.Grant], m.ev, g.reportedTokens)
}

// queueProgress moves the reports that have come to the events to be sent.
func (l *link) queueProgress() {
	for id, p := range l.pendingProgress {
		if g := l.running[id]; g != nil {
			g.reportedTokens = p.Tokens
		}
		l.outbox = append(l.outbox, p)
	}
	clear(l.pendingProgress)
}

// mergeProgress makes one report of two that were not sent yet: PerToken is a
// mean since the last report sent, at told tokens, so the newer mean alone
// would lose the older one's slow tokens.
func mergeProgress(old, newer pool.Progress, reported int) pool.Progress {
	if old.PerToken == 0 || newer.Tokens <= old.Tokens {
		return newer
	}
	if newer.PerToken == 0 {
		newer.PerToken = old.PerToken
		return newer
	}
	oldTokens, newTokens := time.Duration(max(1, old.Tokens-reported)), time.Duration(newer.Tokens-old.Tokens)
	newer.PerToken = (old.PerToken*oldTokens + newer.PerToken*newTokens) / (oldTokens + newTokens)
	return newer
}

// expired tells whether a waiter's deadline has passed.
func (l *link) expired(w *waiter) bool {
	return !w.expires.IsZero() && !l.now.Before(w.expires)
}

// expireWaiters refuses what has expired, also while no owner can be reached.
func (l *link) expireWaiters() {
	if l.nextExpiry.IsZero() || l.now.Before(l.nextExpiry) {
		return
	}
	l.nextExpiry = time.Time{}
	for _, w := range l.waiting {
		if l.expired(w) {
			l.removeWaiter(w)
			l.refuseExpired(w)
			continue
		}
		if !w.expires.IsZero() && (l.nextExpiry.IsZero() || w.expires.Before(l.nextExpiry)) {
			l.nextExpiry = w.expires
		}
	}
}

func (l *link) refuseExpired(w *waiter) {
	if l.session.open() || l.disconnectedSince.IsZero() {
		w.done <- result{err: l.entry.refuse(request.ReasonExpired, "deadline passed while waiting for a slot")}
		return
	}
	w.done <- result{err: l.entry.refuse(request.ReasonNoOwner, "deadline passed while the pool's owner was out of reach")}
}
