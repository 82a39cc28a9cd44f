package cli

import (
	"fmt"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lycheekeel/lycheekeel/internal/admin"
)

func init() { register(addDrain) }

// drainPollInterval is the interval at which a draining daemon's status is polled.
const drainPollInterval = 250 * time.Millisecond

// addDrain adds the command drain.
func addDrain(app *kingpin.Application, g *globals) {
	cmd := app.Command("drain", "Stop a daemon gracefully, without cutting off a request, as SIGTERM does.")
	address := adminFlag(cmd)
	wait := cmd.Flag("wait", "Maximum time to wait until it has stopped; 0 does not wait.").Default("0s").Duration()
	cmd.Action(action(func() error {
		if _, err := adminCall(g.ctx, fasthttp.MethodPost, *address, admin.PathDrain); err != nil {
			return err
		}
		fmt.Fprintf(g.stdout, "%s is draining\n", *address)
		if *wait <= 0 {
			return nil
		}
		return g.awaitStopped(*address, *wait)
	}))
}

// awaitStopped waits until a draining daemon's admin port no longer answers.
func (g *globals) awaitStopped(address string, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) {
		if _, err := fetchStatus(g.ctx, address, false); exitCode(err) == ExitUnreachable {
			fmt.Fprintf(g.stdout, "%s has stopped\n", address)
			return nil
		}
		select {
		case <-time.After(drainPollInterval):
		case <-g.ctx.Done():
			return g.ctx.Err()
		}
	}
	return errors.Errorf("%s still had requests after %v; it continues to drain", address, timeout)
}
