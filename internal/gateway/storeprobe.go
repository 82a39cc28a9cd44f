package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/lycheekeel/lycheekeel/internal/wait"
	"github.com/lycheekeel/lycheekeel/objectstore"
)

// probeInterval is how often a daemon that does not list the store checks that the
// store answers it. A stale read counts as a tenth of a call: 0.05 calls per second.
const probeInterval = 2 * time.Second

// runProbe checks whether the store answers this daemon, until ctx ends.
//
// Without it, a VM that is cut off from the store but not from the other daemons
// would keep serving on the state that they send it. By the users' contract its
// answers count for nothing, while they take slots from requests on other VMs.
func (r *reflector) runProbe(ctx context.Context) {
	for ctx.Err() == nil {
		wait.For(ctx, probeInterval-probeInterval/10+rand.N(probeInterval/5))
		if !r.isReader() {
			r.checkStore(ctx)
		}
	}
}

// probe makes a stale read and returns an error if the store does not answer.
func (r *reflector) probe(ctx context.Context) error {
	_, err := r.stale.GetStale(ctx, kindCluster, clusterKeyName)
	if errors.Is(err, objectstore.ErrNotFound) {
		r.state.signalStoreRestored()
		return nil
	}
	return err
}

// checkStore probes once and records the loss or return of the store.
func (r *reflector) checkStore(ctx context.Context) {
	mark := r.state.configFreshness.Now()
	if err := r.probe(ctx); err != nil {
		if r.state.storeLostAt.CompareAndSwap(0, int64(mark)) {
			r.state.log.WithError(err).Warn("Store does not answer this VM.")
		}
		return
	}
	if lostAt := r.state.storeLostAt.Swap(0); lostAt != 0 {
		away := r.state.configFreshness.Now() - time.Duration(lostAt)
		r.state.log.WithField("away_ms", away.Milliseconds()).Info("Store answers this VM again.")
	}
}
