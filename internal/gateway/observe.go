package gateway

import (
	"context"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/lycheekeel/lycheekeel/internal/metrics"
	"github.com/lycheekeel/lycheekeel/internal/wait"
)

// trustEvery is how often it is checked whether the configuration and the
// other daemons can be relied on; it only feeds the log.
const trustEvery = 500 * time.Millisecond

// drainTold is how often a drain tells what it waits for.
const drainTold = time.Second

// latencies are of what a daemon learns its state by.
type latencies struct {
	// list is of calls that list a kind in the store; ask is the way to a
	// reader and back, without what it held the ask for.
	list, ask *metrics.Histogram
	// proof is the age of the configuration's proof when a key was checked.
	proof *metrics.Histogram
}

func newLatencies(m *metrics.Registry) latencies {
	return latencies{
		list: m.Histogram("latency", "store_list"), ask: m.Histogram("latency", "peer_ask"),
		proof: m.Histogram("latency", "proof_age"),
	}
}

// watchTrust tells each loss and return of what the daemon relies on.
func (g *Gateway) watchTrust(ctx context.Context) {
	fresh, share := true, -1.0
	lost := time.Time{}
	for ctx.Err() == nil {
		if now := g.provedWithin(proofShare); now != fresh && g.routes.Load() != nil {
			fresh = now
			if !now {
				lost = time.Now()
				g.log.WithField("proof_ms", g.ProofAge().Milliseconds()).WithField("store_lost_ms", g.StoreLost().Milliseconds()).
					Warn("Configuration is not proved any more: keys are refused.")
			} else {
				g.log.WithField("away_ms", time.Since(lost).Milliseconds()).Info("Configuration is proved again.")
			}
		}
		if now := g.ledger.Share(); now != share {
			g.log.WithField("share", now).WithField("before", share).Info("Share of the quotas changed.")
			share = now
		}
		wait.For(ctx, trustEvery)
	}
}

// watchDrain tells each second what a shutdown still waits for, until ctx ends.
func (g *Gateway) watchDrain(ctx context.Context) {
	for {
		wait.For(ctx, drainTold)
		if ctx.Err() != nil {
			return
		}
		open := g.forward.Open()
		g.log.WithField("requests", open.Requests).WithField("connections", open.Connections).Info("Still draining.")
	}
}

// serveMetrics serves the counters and histograms as text, where the settings
// name an address. Without them callers are served all the same.
func (g *Gateway) serveMetrics() {
	if g.settings.Metrics == "" {
		return
	}
	ln, err := net.Listen("tcp", g.settings.Metrics)
	if err != nil {
		g.log.WithError(err).Warn("Metrics are not served.")
		return
	}
	server := &fasthttp.Server{ReduceMemoryUsage: true, Handler: func(ctx *fasthttp.RequestCtx) {
		ctx.SetContentType("text/plain; charset=utf-8")
		g.metrics.WriteText(ctx)
	}}
	go func() {
		if err := server.Serve(ln); err != nil {
			g.log.WithError(err).Warn("Metrics are not served any more.")
		}
	}()
}
