// Package fairshare bounds how far strict priority may starve a tier. It finds tiers whose
// requests are granted far less often than those of all tiers, and gives each of them
// credit for a small part of the granted amount, to be granted out of turn. It grants and
// refuses nothing itself, so the order in which requests are shed does not change. The
// caller chooses the unit of amounts, such as slot time or tokens.
//
// Nothing here is safe for concurrent use.
package fairshare

import (
	"time"

	"github.com/lycheekeel/lycheekeel/internal/decay"
	"github.com/lycheekeel/lycheekeel/request"
)

// minRefusals is the decayed number of refusals below which a tier counts as not refused.
const minRefusals = 0.05

// Config sets when a tier is starved, and how much starved tiers get.
type Config struct {
	// MinRatioCheap and MinRatioCostly are parts of the grant ratio of all tiers together.
	// A tier with a lower ratio is starved. MinRatioCheap applies if its requests take next
	// to nothing compared with the mean, MinRatioCostly if they take as much or more;
	// between these the limit is interpolated. A cheap request costs the tiers above it a
	// part of a request, a costly one a whole request.
	MinRatioCheap, MinRatioCostly float64
	// MaxShare is the largest part of the amounts granted in turn that starved tiers
	// together get out of turn. A tier without any grant gets the whole part, and a tier
	// closer to its minimum gets proportionally less, so that the grant ratio converges
	// instead of oscillating.
	MaxShare float64
	// MaxCredit bounds the credit of a tier, in the unit of amounts.
	MaxCredit float64
	// Window is the time constant of the measured rates.
	Window time.Duration
}

// Ledger keeps the grant ratio and the credit of each tier.
type Ledger struct {
	cfg   Config
	tiers [request.MaxTiers]account
	total account
}

// account holds the rates of one tier, or of all tiers together.
type account struct {
	grants, refusals decay.Rate // requests per second
	amountGranted    decay.Rate
	credit           float64
}

// New returns a ledger without any grants or refusals.
func New(cfg Config) *Ledger {
	l := &Ledger{cfg: cfg, total: newAccount(cfg.Window)}
	for t := range l.tiers {
		l.tiers[t] = newAccount(cfg.Window)
	}
	return l
}

func newAccount(window time.Duration) account {
	r := decay.Rate{TimeConstant: window}
	return account{grants: r, refusals: r, amountGranted: r}
}

// RecordGrant records a grant in turn, and credits the starved tiers with their parts of
// its amount.
func (l *Ledger) RecordGrant(now time.Time, t request.Tier, amount float64) {
	l.recordGrant(now, t, amount)
	deficits, sum := l.deficits(now)
	for i, d := range deficits {
		a := &l.tiers[i]
		a.credit = min(l.cfg.MaxCredit, a.credit+l.cfg.MaxShare*amount*d/max(1, sum))
	}
}

// RecordOutOfTurn records a grant out of turn, and deducts it from the tier's credit.
func (l *Ledger) RecordOutOfTurn(now time.Time, t request.Tier, amount float64) {
	l.recordGrant(now, t, amount)
	l.tiers[t].credit -= amount
}

func (l *Ledger) recordGrant(now time.Time, t request.Tier, amount float64) {
	for _, a := range []*account{&l.tiers[t], &l.total} {
		a.grants.Add(now, 1)
		a.amountGranted.Add(now, amount)
	}
}

// RecordRefusal records that a request was given up for lack of capacity.
func (l *Ledger) RecordRefusal(now time.Time, t request.Tier) {
	l.tiers[t].refusals.Add(now, 1)
	l.total.refusals.Add(now, 1)
}

// IsStarved reports whether a tier is starved and has credit.
func (l *Ledger) IsStarved(now time.Time, t request.Tier) bool {
	return l.tiers[t].credit > 0 && l.deficit(now, t) > 0
}

// Allows reports whether the tier's credit suffices for an amount. An amount above
// MaxCredit needs the full credit, and leaves a negative one.
func (l *Ledger) Allows(t request.Tier, amount float64) bool {
	return l.tiers[t].credit >= min(amount, l.cfg.MaxCredit)
}

// deficits returns the deficit of each tier, and their sum.
func (l *Ledger) deficits(now time.Time) (all [request.MaxTiers]float64, sum float64) {
	for t := range all {
		all[t] = l.deficit(now, request.Tier(t))
		sum += all[t]
	}
	return all, sum
}

// deficit returns how far a tier is below its minimum grant ratio: 1 if nothing of it is
// granted, 0 if it has that ratio or none of its requests was refused.
func (l *Ledger) deficit(now time.Time, t request.Tier) float64 {
	a := &l.tiers[t]
	if a.refusals.PerSecond(now)*l.cfg.Window.Seconds() < minRefusals {
		return 0
	}
	minRatio := l.minGrantRatio(now, a) * l.total.grantRatio(now)
	if minRatio <= 0 {
		return 0
	}
	return max(0, 1-a.grantRatio(now)/minRatio)
}

// minGrantRatio returns the part of the grant ratio of all tiers that a tier should have,
// by the mean amount of its requests relative to that of all.
func (l *Ledger) minGrantRatio(now time.Time, a *account) float64 {
	mean := l.total.meanAmount(now)
	if mean <= 0 {
		return l.cfg.MinRatioCostly
	}
	return l.cfg.MinRatioCheap - (l.cfg.MinRatioCheap-l.cfg.MinRatioCostly)*min(1, a.meanAmount(now)/mean)
}

// grantRatio returns the fraction of requests that were granted.
func (a *account) grantRatio(now time.Time) float64 {
	grants := a.grants.PerSecond(now)
	if grants <= 0 {
		return 0
	}
	return grants / (grants + a.refusals.PerSecond(now))
}

// meanAmount returns the mean amount per grant; 0 if there was none.
func (a *account) meanAmount(now time.Time) float64 {
	grants := a.grants.PerSecond(now)
	if grants <= 0 {
		return 0
	}
	return a.amountGranted.PerSecond(now) / grants
}
