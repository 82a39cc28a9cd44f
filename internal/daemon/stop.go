package daemon

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// adminShutdownTimeout bounds the end of the admin port.
const adminShutdownTimeout = time.Second

// gracefulStop ends the serving of callers without cutting one off.
//
// What goes wrong with a plain exit: the balancer sends callers here until its
// next check, and they find a closed port; those that wait or run here lose
// their answers. So: not ready at once, the pools move to other members, the
// listener stays open until the balancer has noticed, and then every request
// gets its whole answer.
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
		d.log.WithError(err).Debug("admin port")
	}
}
