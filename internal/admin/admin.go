// Package admin serves a daemon's admin port: health, readiness, metrics, status
// and drain. It is for operators and the load balancer, never for callers.
package admin

import (
	"context"
	"expvar"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"

	"github.com/lycheekeel/lycheekeel/internal/metrics"
)

// Paths of the admin port.
const (
	PathHealth = "/healthz"    // GET: 200 while the process is alive
	PathReady  = "/readyz"     // GET: 200 while the daemon accepts new callers
	PathVars   = "/debug/vars" // GET: expvar metrics
	PathStatus = "/status"     // GET: status as JSON; ?cluster=true queries every member
	PathDrain  = "/drain"      // POST: graceful shutdown, as on SIGTERM
)

// QueryCluster is the query argument by which PathStatus queries every member.
const QueryCluster = "cluster"

// MetricsName is the key of the daemon's metrics in the JSON at PathVars.
const MetricsName = "lycheekeel"

// Limits of the admin port, so that its clients can't exhaust a small VM.
const (
	timeout        = 10 * time.Second
	maxConnections = 256
	maxBodyBytes   = 4 << 10
)

// Daemon is the daemon that the admin port reports on and controls.
type Daemon interface {
	// Ready returns nil if the daemon accepts new callers, otherwise the reason why
	// not.
	Ready() error
	// Status returns a value to be encoded as JSON. With cluster, it also queries
	// the other members.
	Status(ctx context.Context, cluster bool) any
	// Drain starts a graceful shutdown and returns immediately.
	Drain()
}

// Server is the admin port's server.
type Server struct {
	app *fiber.App
}

// New returns a server for d and its metrics; Serve starts it.
func New(d Daemon, m *metrics.Registry) *Server {
	app := fiber.New(fiber.Config{
		ReadTimeout: timeout, WriteTimeout: timeout, IdleTimeout: timeout,
		Concurrency: maxConnections, BodyLimit: maxBodyBytes, ReduceMemoryUsage: true,
	})
	app.Get(PathHealth, func(c fiber.Ctx) error { return c.SendString("ok\n") })
	app.Get(PathReady, func(c fiber.Ctx) error {
		if err := d.Ready(); err != nil {
			return c.Status(fiber.StatusServiceUnavailable).SendString(err.Error() + "\n")
		}
		return c.SendString("ok\n")
	})
	app.Get(PathVars, func(c fiber.Ctx) error {
		c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
		return c.SendString(varsJSON(m))
	})
	app.Get(PathStatus, func(c fiber.Ctx) error {
		return c.JSON(d.Status(c.Context(), c.Query(QueryCluster) == "true"))
	})
	app.Post(PathDrain, func(c fiber.Ctx) error {
		d.Drain()
		return c.Status(fiber.StatusAccepted).SendString("draining\n")
	})
	return &Server{app: app}
}

// Serve serves connections from ln until Shutdown is called.
func (s *Server) Serve(ln net.Listener) error {
	return errors.Wrap(s.app.Listener(ln, fiber.ListenConfig{DisableStartupMessage: true}), "serve admin")
}

// Shutdown stops the server gracefully. Requests that still run when ctx ends are
// cut off.
func (s *Server) Shutdown(ctx context.Context) error {
	return errors.Wrap(s.app.ShutdownWithContext(ctx), "shut down admin")
}

// varsJSON returns the process's expvar variables as JSON, with the daemon's own
// metrics under MetricsName. These need not be published, because a process may run
// several daemons.
func varsJSON(m *metrics.Registry) string {
	var b strings.Builder
	fmt.Fprintf(&b, "{\n%q: %s", MetricsName, m.JSON())
	expvar.Do(func(kv expvar.KeyValue) {
		if kv.Key != MetricsName {
			fmt.Fprintf(&b, ",\n%q: %s", kv.Key, kv.Value)
		}
	})
	b.WriteString("\n}\n")
	return b.String()
}
