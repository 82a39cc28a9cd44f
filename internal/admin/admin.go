// Package admin serves a daemon's admin port: health, readiness, metrics,
// status, and the order to drain. It is for operators and the balancer, never
// for callers.
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
	PathHealth = "/healthz"    // GET: 200 while the process works
	PathReady  = "/readyz"     // GET: 200 while new callers may come
	PathVars   = "/debug/vars" // GET: expvar metrics
	PathStatus = "/status"     // GET: Status as JSON; ?cluster=true asks every member
	PathDrain  = "/drain"      // POST: stop as on SIGTERM
)

// QueryCluster is the query argument of PathStatus that asks every member.
const QueryCluster = "cluster"

// MetricsName is the name of the program's metrics under PathVars.
const MetricsName = "lycheekeel"

// Limits of the admin port: it must not be a way to use up a small VM.
const (
	timeout        = 10 * time.Second
	maxConnections = 256
	maxBodyBytes   = 4 << 10
)

// Daemon is what the admin port shows and steers.
type Daemon interface {
	// Ready returns why new callers should not come, or nil.
	Ready() error
	// Status returns a value to be shown as JSON; with cluster it asks the
	// other members too.
	Status(ctx context.Context, cluster bool) any
	// Drain begins to stop; it returns at once.
	Drain()
}

// Server is the admin port's server.
type Server struct {
	app *fiber.App
}

// New returns a server that does not listen yet.
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

// Serve serves ln until Shutdown.
func (s *Server) Serve(ln net.Listener) error {
	return errors.Wrap(s.app.Listener(ln, fiber.ListenConfig{DisableStartupMessage: true}), "serve admin")
}

// Shutdown stops the server; requests that go on when ctx ends are cut off.
func (s *Server) Shutdown(ctx context.Context) error {
	return errors.Wrap(s.app.ShutdownWithContext(ctx), "shut down admin")
}

// varsJSON returns the process's expvar variables with the daemon's own metrics,
// which need not be published: a process may run several daemons.
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
