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
	// deletesPerList paces the listings beside the deletes.
	deletesPerList = 10
)

// CollectorOptions set up a Collector; the zero value works.
type CollectorOptions struct {
	// Retention is how long a claim answers resends after its last change.
	Retention time.Duration
	// Margin is how far the claimants' and this machine's CLOCK_REALTIME may
	// differ; a claim is collected only when older than both together.
	Margin time.Duration
	// DeletesPerSecond bounds the share of the store's writes.
	DeletesPerSecond float64
	Options
}

// Collector deletes claims that nobody will send again. Run it where a lease
// is held, so that one process does it; two at once do no harm but to the
// store's budget, since each delete is conditional.
type Collector struct {
	api     objectstore.ObjectAPI
	o       CollectorOptions
	deletes *rate.Limiter
	lists   *rate.Limiter
}

// NewCollector returns a collector; it makes no call.
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

// Pass looks at every claim once, a name prefix at a time. check is asked
// before each delete (a lease's Check); its error ends the pass. Pass returns
// how many claims it deleted.
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
		// A conflict means that it changed and is young again; a lost answer
		// is settled by the next pass.
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

// expired compares wall clocks: nothing else lasts a day and crosses machines. A
// time in the future, or none, is never old.
func (c *Collector) expired(r record) bool {
	return r.At != 0 && c.o.Now().Sub(time.UnixMilli(r.At)) > c.o.Retention+c.o.Margin
}
