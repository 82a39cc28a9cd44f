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

// link is the entry's client of one pool. It holds the requests that wait for the
// pool or run in it, and the session with the pool's scheduler. All fields but box,
// brief and idle are accessed by the mailbox's handler only.
type link struct {
	entry *Entry
	pool  string
	box   *mailbox.Mailbox[message]
	brief atomic.Pointer[cachedBrief]
	// idle is set while the link has no periodic work, so that the many pools that
	// an entry does not use cost no ticks.
	idle atomic.Bool

	now        time.Time
	waiting    map[request.ID]*waiter
	running    map[pool.GrantID]*grant
	nextExpiry time.Time // no waiter expires before this time

	// rates holds the limits on servers' requests per second that answers have named, for
	// the next owner.
	rates named[float64]
	// brittle holds the rejections per second that brittle servers bear, as their answers
	// have named them, for the next owner.
	brittle named[int]

	session     session
	countedOpen bool // session is included in Entry.sessions
	// lastEpoch and lastGrant are the epoch and the last grant number of the
	// previous session.
	lastEpoch, lastGrant uint64
	// outbox holds the events that the open session has yet to send.
	// pendingProgress holds a merged report for each grant, to be sent with the
	// next batch.
	outbox          []pool.Event
	pendingProgress map[pool.GrantID]pool.Progress
	unackedReleases []unackedRelease
	sendAfter       time.Time // nothing is sent before this time, after the send queue was full

	// disconnectedSince is the time since when requests have had no open session,
	// zero while there is one. retryAt is the earliest time of the next hello.
	// openRequested asks for a session although no request waits or runs.
	disconnectedSince time.Time
	retryAt           time.Time
	lastUsed          time.Time
	// unansweredHellos counts consecutive hellos without an answer in time.
	unansweredHellos int
	openRequested    bool
	// ownerView is the membership view from which ownerName was looked up.
	ownerView *member.View
	ownerName string
	// share is open in degraded mode. probe is the session that is being opened with
	// a new owner while another owner or the share still schedules.
	share *poolhost.StaticShare
	probe session
}

// message is a message in a link's mailbox.
type message interface{ apply(l *link) }

func newLink(e *Entry, p string) *link {
	l := &link{
		entry: e, pool: p,
		waiting:         map[request.ID]*waiter{},
		running:         map[pool.GrantID]*grant{},
		pendingProgress: map[pool.GrantID]pool.Progress{},
		rates:           named[float64]{},
		brittle:         named[int]{},
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

// acquireMessage adds a waiter, new or redirected.
type acquireMessage struct{ w *waiter }

func (m acquireMessage) apply(l *link) {
	w := m.w
	if w.withdrawn.Load() {
		return
	}
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

// withdrawMessage removes a waiter whose caller has left. A grant that crosses the
// withdrawal finds no waiter and is returned as not dispatched.
type withdrawMessage struct{ w *waiter }

func (m withdrawMessage) apply(l *link) {
	w := m.w
	if other := w.link.Load(); other != l {
		other.box.Post(m) // the waiter was redirected meanwhile
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

// removeWaiter removes a waiter and withdraws its request from the owner.
func (l *link) removeWaiter(w *waiter) {
	delete(l.waiting, w.id())
	if l.session.open() {
		l.outbox = append(l.outbox, pool.Withdraw{Request: w.id()})
	}
}

// releaseMessage releases a grant.
type releaseMessage struct{ ev pool.Release }

func (m releaseMessage) apply(l *link) {
	if o := m.ev.Outcome; o == pool.OutcomeDone || o == pool.OutcomeFailed {
		l.endNamed(l.running[m.ev.Grant])
	}
	delete(l.running, m.ev.Grant)
	delete(l.pendingProgress, m.ev.Grant)
	l.lastUsed = l.now
	if l.session.open() {
		l.outbox = append(l.outbox, m.ev)
		return
	}
	l.unackedReleases = append(l.unackedReleases, unackedRelease{ev: m.ev})
}

// progressMessage reports the progress of a running request.
type progressMessage struct{ ev pool.Progress }

func (m progressMessage) apply(l *link) {
	g := l.running[m.ev.Grant]
	if g == nil {
		return
	}
	l.endNamed(g)
	if m.ev.FirstToken > 0 && !g.firstTokenReported && l.session.open() {
		// The first token is sent at once: the scheduler's limits and its holds for
		// prefixes depend on it.
		g.firstTokenReported, g.reportedTokens = true, m.ev.Tokens
		l.outbox = append(l.outbox, m.ev)
		return
	}
	l.pendingProgress[m.ev.Grant] = mergeProgress(l.pendingProgress[m.ev.Grant], m.ev, g.reportedTokens)
}

// queueProgress moves the pending progress to the outbox.
func (l *link) queueProgress() {
	for id, p := range l.pendingProgress {
		if g := l.running[id]; g != nil {
			g.reportedTokens = p.Tokens
		}
		l.outbox = append(l.outbox, p)
	}
	clear(l.pendingProgress)
}

// mergeProgress merges two reports that were not sent yet. reported is the number of
// tokens in the last report sent. PerToken is a mean over the tokens since then; the
// newer mean alone would lose slow tokens of the older report.
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

// expired reports whether a waiter's deadline has passed.
func (l *link) expired(w *waiter) bool {
	return !w.expires.IsZero() && !l.now.Before(w.expires)
}

// expireWaiters refuses expired requests, even while no owner is reachable.
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
