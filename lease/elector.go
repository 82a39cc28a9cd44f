package lease

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	mathrand "math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/lycheekeel/lycheekeel/internal/logs"
	"github.com/lycheekeel/lycheekeel/internal/metrics"
	"github.com/lycheekeel/lycheekeel/objectstore"
)

// Kind is the kind of the objects that hold leases.
const Kind = objectstore.Kind("Lease")

// Defaults of Options, and numbers of renewals, retries and polls per Duration.
const (
	DefaultDuration = 9 * time.Second
	DefaultMaxDrift = 0.01
	DefaultMargin   = time.Second

	renewalsPerDuration = 3
	retriesPerDuration  = 12
	pollsPerDuration    = 4
	jitterSpread        = 0.4 // a wait is 0.8 to 1.2 of its mean
)

// The counters of metric group "lease".
const (
	metricGroup      = "lease"
	countAcquired    = "acquired"
	countRenewed     = "renewed"
	countReadBack    = "settled_by_reading"
	countUnavailable = "store_unavailable"
	countExpired     = "lost_expired"
	countTakenOver   = "lost_taken"
	countDeleted     = "lost_deleted"
	countReleased    = "released"
)

// Options configures an Elector. All candidates for a lease must use the same
// Duration and MaxDrift.
type Options struct {
	// Name is the name of the lease, Holder that of this candidate.
	Name   string
	Holder string
	// Duration is how long a lease lasts without renewal.
	Duration time.Duration
	// MaxDrift is the largest error of any candidate's clock rate, as a fraction of
	// true time.
	MaxDrift float64
	// Margin is the additional time that a new holder waits, for actions of the
	// previous holder that are still in flight.
	Margin time.Duration
	// PollEvery is the interval at which a candidate reads a lease that another one
	// holds; zero is a quarter of Duration. Each read counts against the store's rate
	// limits: with many candidates use Duration, which delays a takeover by up to
	// that time.
	PollEvery time.Duration
	// CallTimeout is the timeout of one call to the store; zero is a third of
	// Duration.
	CallTimeout time.Duration
	// Clock and Jitter (uniform in [0,1)) are injected by tests; both must be
	// safe for concurrent use.
	Clock   Clock
	Jitter  func() float64
	Metrics *metrics.Registry
}

// Elector is one candidate for a lease. It is safe for concurrent use.
type Elector struct {
	api objectstore.ObjectAPI
	o   Options
	log *logrus.Entry
}

// NewElector returns a candidate. It does not call the store.
func NewElector(api objectstore.ObjectAPI, o Options) (*Elector, error) {
	if o.Name == "" || o.Holder == "" {
		return nil, errors.New("lease: name and holder are required")
	}
	if o.MaxDrift < 0 || o.MaxDrift >= 0.5 {
		return nil, errors.Errorf("lease: max drift %g is not in [0, 0.5)", o.MaxDrift)
	}
	if o.Duration == 0 {
		o.Duration = DefaultDuration
	}
	if o.MaxDrift == 0 {
		o.MaxDrift = DefaultMaxDrift
	}
	if o.Margin == 0 {
		o.Margin = DefaultMargin
	}
	if o.PollEvery == 0 {
		o.PollEvery = o.Duration / pollsPerDuration
	}
	if o.CallTimeout == 0 {
		o.CallTimeout = o.Duration / renewalsPerDuration
	}
	if o.Clock == nil {
		o.Clock = NewSystemClock()
	}
	if o.Jitter == nil {
		o.Jitter = mathrand.Float64
	}
	if o.Metrics == nil {
		o.Metrics = metrics.New()
	}
	return &Elector{api: api, o: o, log: logs.For("lease").WithField("lease", o.Name)}, nil
}

// observation is a version written by another candidate and the time when this
// candidate first read it.
type observation struct {
	version objectstore.Version
	at      time.Duration // in Clock.WaiterElapsed time
}

// pendingWrite is this candidate's newest write whose outcome is unknown.
type pendingWrite struct {
	nonce string
	sent  time.Duration // in Clock.HolderElapsed time
}

// Acquire waits until this candidate holds the lease. It returns an error only if the
// context ends.
func (e *Elector) Acquire(ctx context.Context) (*Lease, error) {
	var seen observation
	var pending pendingWrite
	for ctx.Err() == nil {
		o, err := e.get(ctx)
		now := e.o.Clock.WaiterElapsed()
		var wait time.Duration
		switch {
		case errors.Is(err, objectstore.ErrNotFound):
			o = objectstore.Object{}
		case err != nil:
			wait = e.o.Duration / retriesPerDuration
		default:
			r := decode(o.Value)
			if r.Nonce == pending.nonce && pending.nonce != "" && e.o.Clock.HolderElapsed() < pending.sent+e.holderTTL() {
				if l := e.startLease(ctx, o, pending); l != nil {
					return l, nil
				}
			}
			if o.Version != seen.version {
				seen = observation{o.Version, now}
			}
			if !r.Released {
				wait = min(e.takeoverDelay(r)-(now-seen.at), e.o.PollEvery)
			}
		}
		if wait <= 0 {
			var acquired bool
			if o, pending, acquired = e.tryAcquire(ctx, o); acquired {
				if l := e.startLease(ctx, o, pending); l != nil {
					return l, nil
				}
			}
			wait = e.o.Duration / retriesPerDuration
		}
		e.o.Clock.Sleep(ctx, e.jittered(wait))
	}
	return nil, errors.Wrapf(ctx.Err(), "acquire lease %s", e.o.Name)
}

func (e *Elector) get(ctx context.Context) (objectstore.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, e.o.CallTimeout)
	defer cancel()
	return e.api.Get(ctx, Kind, e.o.Name)
}

// tryAcquire writes this candidate as the holder over the object that was read; a zero
// version stands for an absent object. A lost response is resolved by the next read.
func (e *Elector) tryAcquire(ctx context.Context, o objectstore.Object) (objectstore.Object, pendingWrite, bool) {
	ctx, cancel := context.WithTimeout(ctx, e.o.CallTimeout)
	defer cancel()
	a := pendingWrite{nonce: newNonce(), sent: e.o.Clock.HolderElapsed()}
	var err error
	if o.Version == 0 {
		o.Version, err = e.api.Create(ctx, Kind, e.o.Name, e.record(a.nonce, 0, false))
		o.Created = o.Version
	} else {
		o.Version, err = e.api.Update(ctx, Kind, e.o.Name, e.record(a.nonce, 0, false), o.Version)
	}
	return o, a, err == nil
}

// startLease starts the renewals and returns the lease, or nil if it was lost
// meanwhile. If this candidate created the object, the lease is returned only after
// the takeover delay: the object may just have been deleted, while its previous holder
// still relies on its own deadline.
func (e *Elector) startLease(ctx context.Context, o objectstore.Object, a pendingWrite) *Lease {
	renewCtx, cancel := context.WithCancel(context.Background())
	l := &Lease{
		e: e, token: o.Version, version: o.Version,
		lost: make(chan struct{}), writeSlot: make(chan struct{}, 1),
		cancel: cancel, unresolved: map[string]time.Duration{},
	}
	l.deadline.Store(int64(a.sent + e.holderTTL()))
	var usableAt time.Duration // in Clock.WaiterElapsed time
	if o.Created.Revision() == o.Version.Revision() {
		usableAt = e.o.Clock.WaiterElapsed() + e.takeoverDelay(record{})
	}
	go l.renewLoop(renewCtx)
	for e.o.Clock.WaiterElapsed() < usableAt && ctx.Err() == nil && l.Remaining() > 0 {
		e.o.Clock.Sleep(ctx, min(usableAt-e.o.Clock.WaiterElapsed(), l.Remaining()))
	}
	if ctx.Err() != nil || l.Remaining() == 0 {
		l.end(countExpired)
		return nil
	}
	e.count(countAcquired)
	e.log.WithField("token", l.token).Info("Lease acquired.")
	return l
}

// holderTTL returns how long a holder relies on its lease, by its own clock.
func (e *Elector) holderTTL() time.Duration {
	return time.Duration(float64(e.o.Duration) * (1 - e.o.MaxDrift))
}

// takeoverDelay returns how long a version must be unchanged, by a candidate's clock,
// before the candidate takes the lease over.
func (e *Elector) takeoverDelay(r record) time.Duration {
	d := max(e.o.Duration, time.Duration(r.DurationMs)*time.Millisecond)
	return time.Duration(float64(d)*(1+e.o.MaxDrift)) + e.o.Margin
}

func (e *Elector) jittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - jitterSpread/2 + jitterSpread*e.o.Jitter()))
}

func (e *Elector) count(name string) { e.o.Metrics.Counter(metricGroup, name).Add(1) }

// record is the stored form of a lease.
type record struct {
	Holder string `json:"holder"`
	// Token is zero in the write that acquires the lease, since that write's version
	// is the token.
	Token      Token  `json:"token"`
	Nonce      string `json:"nonce"` // unique to each write
	DurationMs int64  `json:"duration_ms"`
	Released   bool   `json:"released"`
}

func (e *Elector) record(nonce string, t Token, released bool) []byte {
	b, err := json.Marshal(record{e.o.Holder, t, nonce, e.o.Duration.Milliseconds(), released})
	if err != nil {
		panic(err) // strings and numbers always marshal
	}
	return b
}

// decode decodes a stored lease. A lease that can't be decoded counts as held: its
// version still shows when its holder has stopped renewing.
func decode(b []byte) record {
	var r record
	if json.Unmarshal(b, &r) != nil {
		return record{}
	}
	return r
}

const nonceBytes = 12

func newNonce() string {
	var b [nonceBytes]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(err) // crypto/rand never fails on the supported platforms
	}
	return hex.EncodeToString(b[:])
}
