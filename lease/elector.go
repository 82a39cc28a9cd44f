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

// Defaults of Options, and fixed proportions of the duration.
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

// Options set up an Elector. Every candidate for one lease must use the same
// Duration and MaxDrift.
type Options struct {
	// Name is the lease's, Holder this candidate's.
	Name   string
	Holder string
	// Duration is how long a lease lasts without renewal.
	Duration time.Duration
	// MaxDrift bounds how far any candidate's clock rate may be off, as a
	// fraction of true time.
	MaxDrift float64
	// Margin is how much longer a new holder waits, for acts of the old one
	// that are still under way.
	Margin time.Duration
	// PollEvery is how often a candidate reads a lease that another holds;
	// zero is a quarter of Duration. Each read counts against the store's
	// rates: many candidates should read once a Duration, which delays a
	// takeover by up to as much.
	PollEvery time.Duration
	// CallTimeout bounds one call to the store; zero is a third of Duration.
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

// NewElector returns a candidate. It makes no call.
func NewElector(api objectstore.ObjectAPI, o Options) (*Elector, error) {
	if o.Name == "" || o.Holder == "" {
		return nil, errors.New("lease: name and holder are needed")
	}
	if o.MaxDrift < 0 || o.MaxDrift >= 0.5 {
		return nil, errors.Errorf("lease: drift %g not in [0, 0.5)", o.MaxDrift)
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

// observation is a foreign version and when this candidate first saw it.
type observation struct {
	version objectstore.Version
	at      time.Duration // reading of Clock.Waited
}

// pendingWrite is this candidate's newest write whose outcome is not known.
type pendingWrite struct {
	nonce string
	sent  time.Duration // reading of Clock.Held
}

// Acquire waits until the lease is this candidate's. It returns an error only
// when the context ends.
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

// tryAcquire writes this candidate into the lease that was read; a zero version is
// an absent one. A lost answer is settled by the next read.
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

// startLease starts the renewals; nil if the lease was lost meanwhile. A lease whose object it created is not used before
// a whole duration has passed: the object may have been deleted a moment ago
// while its holder still trusts its own deadline.
func (e *Elector) startLease(ctx context.Context, o objectstore.Object, a pendingWrite) *Lease {
	renewCtx, cancel := context.WithCancel(context.Background())
	l := &Lease{
		e: e, token: o.Version, version: o.Version,
		lost: make(chan struct{}), writeSlot: make(chan struct{}, 1),
		cancel: cancel, unresolved: map[string]time.Duration{},
	}
	l.deadline.Store(int64(a.sent + e.holderTTL()))
	var usableAt time.Duration // reading of Clock.Waited
	if o.Created == o.Version {
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

// holderTTL is how long a holder trusts its lease by its own clock.
func (e *Elector) holderTTL() time.Duration {
	return time.Duration(float64(e.o.Duration) * (1 - e.o.MaxDrift))
}

// takeoverDelay is how long a candidate lets a version stand unchanged before it
// takes over.
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
	// Token is zero in the acquiring write, whose version it is.
	Token      Token  `json:"token"`
	Nonce      string `json:"nonce"` // of this one write
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

// decode reads a stored lease. One that can't be read counts as held: its
// version still tells when its holder is gone.
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
