package daemon

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// adminStop bounds the end of the admin port.
const adminStop = time.Second

// stop ends the serving of callers without cutting one off.
//
// What goes wrong with a plain exit: the balancer sends callers here until its
// next check, and they find a closed port; those that wait or run here lose
// their answers. So: not ready at once, the pools move to other members, the
// listener stays open until the balancer has noticed, and then every request
// gets its whole answer.
func (d *Daemon) stop() error {
	d.state.Store(uint32(stateDraining))
	d.members.Leave()
	d.entry.Drain()
	delay := orDefault(d.settings.Timeouts.DrainMs, DefaultDrain)
	limit := orDefault(d.settings.Timeouts.StopMs, DefaultStop)
	d.log.WithField("listener_closes_in", delay).Info("draining")
	time.Sleep(delay)
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	err := d.entry.Shutdown(ctx)
	return errors.Wrapf(err, "requests were still running after %v", limit)
}

func (d *Daemon) closeAdmin() {
	ctx, cancel := context.WithTimeout(context.Background(), adminStop)
	defer cancel()
	if err := d.admin.Shutdown(ctx); err != nil {
		d.log.WithError(err).Debug("admin port")
	}
}
