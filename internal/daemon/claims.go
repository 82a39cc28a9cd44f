package daemon

import (
	"context"
	"time"

	"github.com/lycheekeel/lycheekeel/claim"
	"github.com/lycheekeel/lycheekeel/lease"
)

// Parameters of the leases.
const (
	LeaseDuration = 15 * time.Second // validity of a lease without renewal
	leaseMaxDrift = 0.01             // maximum rate error of a clock, as a fraction
	leaseMargin   = 2 * time.Second  // additional wait of a new holder
)

// collectInterval is the interval between two passes that delete old claims.
const collectInterval = 10 * time.Minute

// collectorLeaseName names the lease whose holder deletes old claims.
const collectorLeaseName = "claim-collector"

// ledgerCloseTimeout limits how long a stopping daemon waits for the store to
// record the outcomes of claims.
const ledgerCloseTimeout = 10 * time.Second

// collectClaims deletes old claims whenever this daemon holds the collector
// lease, until ctx ends.
func (d *Daemon) collectClaims(ctx context.Context) {
	elector, err := d.newElector(collectorLeaseName)
	if err != nil {
		d.log.WithError(err).Error("can't take part in the deletion of old claims")
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

// collectUnderLease runs the collector until the lease is lost or ctx ends.
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
			d.log.WithError(err).WithField("deleted", n).Info("deleted old claims")
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

// closeLedger writes the outcomes of claims that are not yet stored.
func (d *Daemon) closeLedger() {
	ctx, cancel := context.WithTimeout(context.Background(), ledgerCloseTimeout)
	defer cancel()
	if err := d.ledger.Close(ctx); err != nil {
		d.log.WithError(err).Warn("the outcomes of some claims were not stored; they will be reported as unknown")
	}
}
