package daemon

import (
	"context"

	"github.com/pkg/errors"

	"github.com/lycheekeel/lycheekeel/engine"
	"github.com/lycheekeel/lycheekeel/lease"
	"github.com/lycheekeel/lycheekeel/member"
	"github.com/lycheekeel/lycheekeel/placement"
)

// placementLeasePrefix followed by the region's name is the name of the lease
// of the region's placement controller.
const placementLeasePrefix = "placement-"

// newPlacement returns the controller that places models in this daemon's
// region while this daemon holds the region's placement lease.
func (d *Daemon) newPlacement(engines engine.Dialer) (*placement.Controller, error) {
	elector, err := d.newElector(placementLeasePrefix + d.settings.Region)
	if err != nil {
		return nil, errors.Wrap(err, "placement")
	}
	return placement.NewController(placement.Options{
		Region: d.settings.Region, Elector: elector, API: d.platform, Weights: d.platform, Engines: engines,
		Config: d.snapshot.Load, Demand: d.regionDemand, Metrics: d.metrics,
	}), nil
}

// newElector returns an elector by which this daemon competes for a lease.
func (d *Daemon) newElector(name string) (*lease.Elector, error) {
	return lease.NewElector(d.platform, lease.Options{
		Name: name, Holder: d.settings.Name, Duration: LeaseDuration, PollEvery: LeaseDuration,
		MaxDrift: leaseMaxDrift, Margin: leaseMargin, Metrics: d.metrics,
	})
}

// regionDemand collects the waiting and running requests of the region's pools
// from the members that own them.
func (d *Daemon) regionDemand(ctx context.Context) map[string]placement.Demand {
	var names []string
	for _, m := range d.view.Load().Members {
		if m.Region == d.settings.Region && m.State != member.Dead {
			names = append(names, m.Name)
		}
	}
	out := map[string]placement.Demand{}
	for _, r := range d.fetchReports(ctx, names) {
		for _, s := range r.report.Owned {
			out[s.Pool] = placement.DemandOf(s.Waiting, s.Running)
		}
	}
	return out
}

// runPlacement runs the controller until ctx ends.
func (d *Daemon) runPlacement(ctx context.Context) {
	if err := d.placement.Run(ctx); err != nil && ctx.Err() == nil {
		d.log.WithError(err).Error("placement controller failed")
	}
}
