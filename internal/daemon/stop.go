package daemon

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// adminShutdownTimeout limits the shutdown of the admin port.
const adminShutdownTimeout = time.Second

// gracefulStop stops serving callers without cutting off a request.
//
// A plain exit would lose requests: the load balancer sends connections to the
// closed port until its next check, and requests that wait or run here lose
// their answers. Therefore the daemon reports not ready at once and hands its
// pools to other members, keeps the listener open until the load balancer has
// noticed, and then waits until every request has its whole answer.
func (d *Daemon) gracefulStop() error {
	d.state.Store(uint32(stateDraining))
	d.members.Leave()
	d.entry.Drain()
	drainDelay := orDefault(d.settings.Timeouts.DrainMs, DefaultDrainDelay)
	stopTimeout := orDefault(d.settings.Timeouts.StopMs, DefaultStopTimeout)
	d.log.WithField("listener_closes_in", drainDelay).Info("draining")
	time.Sleep(drainDelay)
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	err := d.entry.Shutdown(ctx)
	return errors.Wrapf(err, "requests were still running after %v", stopTimeout)
}

func (d *Daemon) closeAdmin() {
	ctx, cancel := context.WithTimeout(context.Background(), adminShutdownTimeout)
	defer cancel()
	if err := d.admin.Shutdown(ctx); err != nil {
		d.log.WithError(err).Debug("can't shut down the admin port")
	}
}
