// Package fairshare bounds how far strict priority may starve a tier: it tells which
// tiers are served far less often than all, and gives each of them a small part of
// what is granted, out of turn. It grants and refuses nothing itself, so that the order
// in which requests are given up stays as it is. The unit of what is granted is its
// user's: slot time, tokens.
//
// Nothing here is safe for concurrent use.
package fairshare

import (
	"time"

	"github.com/lycheekeel/lycheekeel/internal/decay"
	"github.com/lycheekeel/lycheekeel/request"
)

// minRefusals is the number of refusals, fading, below which a tier counts as not refused.
const minRefusals = 0.05

// Config is how much starved tiers get.
type Config struct {
	// MinRatioCheap and MinRatioCostly are the parts of the service of all tiers together below
	// which a tier is starved: MinRatioCheap where its requests take next to nothing beside
	// those of others, MinRatioCostly where they take as much or more. A cheap one costs the
	// tiers above a part of a request, a costly one a whole one.
	MinRatioCheap, MinRatioCostly float64
	// MaxShare is the largest part of what is granted in turn that starved tiers together
	// get out of turn. A tier of which nothing is served gets all of it, one that is
	// nearly served as often as it should proportionally less, so that service settles
	// instead of swinging.
	MaxShare float64
	// MaxCredit bounds what a tier saves up, in the unit of what is granted.
	MaxCredit float64
	// Window is the time over which service is measured.
	Window time.Duration
}

// Ledger keeps the service of each tier and what the starved ones may have.
type Ledger struct {
	cfg   Config
	tiers [request.MaxTiers]account
	total account
}

// account is one tier's, or that of all.
type account struct {
	grants, refusals decay.Rate // requests
	amountGranted    decay.Rate // granted
	credit           float64
}

// New returns a ledger that has seen nothing.
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

// RecordGrant tells of a grant in turn. The starved tiers get their parts of its amount.
func (l *Ledger) RecordGrant(now time.Time, t request.Tier, amount float64) {
	l.recordGrant(now, t, amount)
	deficits, sum := l.deficits(now)
	for i, d := range deficits {
		a := &l.tiers[i]
		a.credit = min(l.cfg.MaxCredit, a.credit+l.cfg.MaxShare*amount*d/max(1, sum))
	}
}

// RecordOutOfTurn tells of a grant that Allows allowed.
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

// RecordRefusal tells that a request was given up for want of room.
func (l *Ledger) RecordRefusal(now time.Time, t request.Tier) {
	l.tiers[t].refusals.Add(now, 1)
	l.total.refusals.Add(now, 1)
}

// IsStarved tells whether a tier may be granted anything out of turn.
func (l *Ledger) IsStarved(now time.Time, t request.Tier) bool {
	return l.tiers[t].credit > 0 && l.deficit(now, t) > 0
}

// Allows tells whether a starved tier may be granted an amount out of turn. One that is
// larger than all that may be saved is granted on credit.
func (l *Ledger) Allows(t request.Tier, amount float64) bool {
	return l.tiers[t].credit >= min(amount, l.cfg.MaxCredit)
}

// deficits returns every tier's, and their sum.
func (l *Ledger) deficits(now time.Time) (all [request.MaxTiers]float64, sum float64) {
	for t := range all {
		all[t] = l.deficit(now, request.Tier(t))
		sum += all[t]
	}
	return all, sum
}

// deficit is how far a tier is from the service that it should have at the least: 1
// where nothing of it is served, 0 where it has that service or nothing of it was refused.
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

// minGrantRatio is the part of the service of all that a tier should have, by what its requests
// take beside the mean.
func (l *Ledger) minGrantRatio(now time.Time, a *account) float64 {
	mean := l.total.meanAmount(now)
	if mean <= 0 {
		return l.cfg.MinRatioCostly
	}
	return l.cfg.MinRatioCheap - (l.cfg.MinRatioCheap-l.cfg.MinRatioCostly)*min(1, a.meanAmount(now)/mean)
}

// grantRatio is the part of the requests that was granted.
func (a *account) grantRatio(now time.Time) float64 {
	grants := a.grants.PerSecond(now)
	if grants <= 0 {
		return 0
	}
	return grants / (grants + a.refusals.PerSecond(now))
}

// meanAmount is what a request took; 0 where none was granted.
func (a *account) meanAmount(now time.Time) float64 {
	grants := a.grants.PerSecond(now)
	if grants <= 0 {
		return 0
	}
	return a.amountGranted.PerSecond(now) / grants
}
