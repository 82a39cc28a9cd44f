package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/lycheekeel/lycheekeel/internal/wait"
	"github.com/lycheekeel/lycheekeel/objectstore"
)

// reachEvery is how often a daemon that does not read the store checks whether
// it could. A stale read costs a tenth of another call: 0.05 calls a second.
const reachEvery = 2 * time.Second

// runReach checks whether the store answers this daemon until ctx ends.
//
// What goes wrong without it: a VM is cut off from the store and not from the
// other daemons. It serves on by what they prove to it, and does not notice; its
// callers are served for nothing, by the users' contract, while they take the
// slots of those of other VMs.
func (r *reader) runReach(ctx context.Context) {
	for ctx.Err() == nil {
		wait.For(ctx, reachEvery-reachEvery/10+rand.N(reachEvery/5))
		if !r.reading() {
			r.checkReach(ctx)
		}
	}
}

// reach asks the store for what may be old, and returns why it does not answer.
func (r *reader) reach(ctx context.Context) error {
	_, err := r.stale.GetStale(ctx, kindCluster, clusterKeyName)
	if errors.Is(err, objectstore.ErrNotFound) {
		return nil
	}
	return err
}

// checkReach makes one check.
func (r *reader) checkReach(ctx context.Context) {
	mark := r.state.configFresh.Mark()
	if err := r.reach(ctx); err != nil {
		if r.state.storeLost.CompareAndSwap(0, int64(mark)) {
			r.state.log.WithError(err).Warn("Store does not answer this VM.")
		}
		return
	}
	if lost := r.state.storeLost.Swap(0); lost != 0 {
		away := r.state.configFresh.Mark() - time.Duration(lost)
		r.state.log.WithField("away_ms", away.Milliseconds()).Info("Store answers this VM again.")
	}
}
