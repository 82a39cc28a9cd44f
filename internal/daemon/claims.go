package daemon

import (
	"context"
	"time"

	"github.com/lycheekeel/lycheekeel/claim"
	"github.com/lycheekeel/lycheekeel/lease"
)

// The leases' times: how long one lasts without renewal, how far a clock's
// rate may be off, and how much longer a new holder waits.
const (
	LeaseDuration = 15 * time.Second
	leaseMaxDrift = 0.01
	leaseMargin   = 2 * time.Second
)

// collectInterval is the time between two passes over the old claims.
const collectInterval = 10 * time.Minute

// collectorLeaseName is the lease whose holder collects old claims.
const collectorLeaseName = "claim-collector"

// ledgerCloseTimeout bounds how long a stopping daemon records claims' outcomes.
const ledgerCloseTimeout = 10 * time.Second

// collectClaims deletes old claims while this daemon holds the lease for it.
func (d *Daemon) collectClaims(ctx context.Context) {
	elector, err := d.newElector(collectorLeaseName)
	if err != nil {
		d.log.WithError(err).Error("old claims are not collected")
		return
	}
	collector := claim.NewCollector(d.platform, claim.CollectorOptions{Options: claim.Options{Metrics: d.metrics}})
	for {
		held, err := elector.Acquire(ctx)
		if err != nil {
			return // ctx ended
		}
		d.collectUnderLease(ctx, held, collector)
	}
}

// collectUnderLease collects until the lease is lost or ctx ends.
func (d *Daemon) collectUnderLease(ctx context.Context, held *lease.Lease, c *claim.Collector) {
	defer func() {
		releaseCtx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = held.Release(releaseCtx)
	}()
	tick := time.NewTicker(collectInterval)
	defer tick.Stop()
	checkLease := func() error {
		_, err := held.Check()
		return err
	}
	for {
		n, err := c.Pass(ctx, checkLease)
		if n > 0 || err != nil {
			d.log.WithError(err).WithField("deleted", n).Info("collected old claims")
		}
		select {
		case <-tick.C:
		case <-held.Lost():
			return
		case <-ctx.Done():
			return
		}
	}
}

// closeLedger records the outcomes that still wait for the store.
func (d *Daemon) closeLedger() {
	ctx, cancel := context.WithTimeout(context.Background(), ledgerCloseTimeout)
	defer cancel()
	if err := d.ledger.Close(ctx); err != nil {
		d.log.WithError(err).Warn("some claims' outcomes were not recorded and read unknown")
	}
}
