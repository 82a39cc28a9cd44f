package claim

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/lycheekeel/lycheekeel/objectstore"
)

// Defaults of CollectorOptions.
const (
	DefaultRetention        = 24 * time.Hour
	DefaultMargin           = 10 * time.Minute
	DefaultDeletesPerSecond = 50
	// deletesPerList sets the rate of listings relative to that of deletes.
	deletesPerList = 10
)

// CollectorOptions configures a Collector; the zero value is usable.
type CollectorOptions struct {
	// Retention is how long a claim is kept for retries after its last change.
	Retention time.Duration
	// Margin is how far the CLOCK_REALTIME of the claimants and of this machine may
	// differ. A claim is collected if it is older than Retention plus Margin.
	Margin time.Duration
	// DeletesPerSecond limits the rate of deletes, which count against the store's
	// write rate.
	DeletesPerSecond float64
	Options
}

// Collector deletes claims past their retention. Run it while holding a lease, so
// that a single process collects. Two at once only cost more of the store's rate,
// since each delete is conditional.
type Collector struct {
	api     objectstore.ObjectAPI
	o       CollectorOptions
	deletes *rate.Limiter
	lists   *rate.Limiter
}

// NewCollector returns a collector. It does not call the store.
func NewCollector(api objectstore.ObjectAPI, o CollectorOptions) *Collector {
	if o.Retention == 0 {
		o.Retention = DefaultRetention
	}
	if o.Margin == 0 {
		o.Margin = DefaultMargin
	}
	if o.DeletesPerSecond == 0 {
		o.DeletesPerSecond = DefaultDeletesPerSecond
	}
	o.Options = o.withDefaults()
	return &Collector{
		api: api, o: o,
		deletes: rate.NewLimiter(rate.Limit(o.DeletesPerSecond), 1),
		lists:   rate.NewLimiter(rate.Limit(o.DeletesPerSecond/deletesPerList), 1),
	}
}

// Pass checks every claim once, one name prefix at a time. check is called before
// each delete, such as a lease's Check; an error of it ends the pass. Pass returns the
// number of deleted claims.
func (c *Collector) Pass(ctx context.Context, check func() error) (int, error) {
	removed := 0
	for i := range 1 << (4 * prefixChars) {
		if err := c.lists.Wait(ctx); err != nil {
			return removed, errors.Wrap(err, "collect claims")
		}
		n, err := c.collectPrefix(ctx, fmt.Sprintf("%0*x/", prefixChars, i), check)
		removed += n
		if err != nil {
			return removed, errors.Wrap(err, "collect claims")
		}
	}
	return removed, nil
}

func (c *Collector) collectPrefix(ctx context.Context, prefix string, check func() error) (int, error) {
	list, err := c.api.List(ctx, Kind, prefix)
	if err != nil {
		return 0, err
	}
	removed := 0
	for _, o := range list.Objects {
		if !c.expired(decode(o.Value)) {
			continue
		}
		if err := c.deletes.Wait(ctx); err != nil {
			return removed, err
		}
		if err := check(); err != nil {
			return removed, err
		}
		// After a conflict the claim has changed and is not expired any more. A lost
		// response is resolved by the next pass.
		_, err := c.api.Delete(ctx, Kind, o.Name, o.Version)
		switch {
		case err == nil:
			c.o.count(countCollected)
			removed++
		case errors.Is(err, objectstore.ErrUnavailable):
			return removed, err
		}
	}
	return removed, nil
}

// expired reports whether a claim is past its retention. It compares wall clocks, the
// only ones that are comparable across machines and over a day. A claim with a time in
// the future, or without one, is not expired.
func (c *Collector) expired(r record) bool {
	return r.At != 0 && c.o.Now().Sub(time.UnixMilli(r.At)) > c.o.Retention+c.o.Margin
}
