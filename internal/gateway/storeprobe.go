package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/lycheekeel/lycheekeel/internal/wait"
	"github.com/lycheekeel/lycheekeel/objectstore"
)

// probeInterval is how often a daemon that does not read the store checks whether
// it could. A stale read costs a tenth of another call: 0.05 calls a second.
const probeInterval = 2 * time.Second

// runProbe checks whether the store answers this daemon until ctx ends.
//
// What goes wrong without it: a VM is cut off from the store and not from the
// other daemons. It serves on by what they prove to it, and does not notice; its
// callers are served for nothing, by the users' contract, while they take the
// slots of those of other VMs.
func (r *reflector) runProbe(ctx context.Context) {
	for ctx.Err() == nil {
		wait.For(ctx, probeInterval-probeInterval/10+rand.N(probeInterval/5))
		if !r.isReader() {
			r.checkStore(ctx)
		}
	}
}

// probe asks the store for what may be old, and returns why it does not answer.
func (r *reflector) probe(ctx context.Context) error {
	_, err := r.stale.GetStale(ctx, kindCluster, clusterKeyName)
	if errors.Is(err, objectstore.ErrNotFound) {
		return nil
	}
	return err
}

// checkStore makes one check.
func (r *reflector) checkStore(ctx context.Context) {
	mark := r.state.configFreshness.Mark()
	if err := r.probe(ctx); err != nil {
		if r.state.storeLostAt.CompareAndSwap(0, int64(mark)) {
			r.state.log.WithError(err).Warn("Store does not answer this VM.")
		}
		return
	}
	if lostAt := r.state.storeLostAt.Swap(0); lostAt != 0 {
		away := r.state.configFreshness.Mark() - time.Duration(lostAt)
		r.state.log.WithField("away_ms", away.Milliseconds()).Info("Store answers this VM again.")
	}
}
