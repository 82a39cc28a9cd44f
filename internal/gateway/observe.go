package gateway

import (
	"context"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/lycheekeel/lycheekeel/internal/metrics"
	"github.com/lycheekeel/lycheekeel/internal/wait"
)

// freshnessCheckInterval is how often it is checked whether the configuration and the
// other daemons can be relied on; it only feeds the log.
const freshnessCheckInterval = 500 * time.Millisecond

// drainLogInterval is how often a drain tells what it waits for.
const drainLogInterval = time.Second

// latencies are of what a daemon learns its state by.
type latencies struct {
	// storeList is of calls that list a kind in the store; ask is the way to a
	// reader and back, without what it held the ask for.
	storeList, peerPoll *metrics.Histogram
	// proofAge is the age of the configuration's proof when a key was checked.
	proofAge *metrics.Histogram
}

func newLatencies(m *metrics.Registry) latencies {
	return latencies{
		storeList: m.Histogram("latency", "store_list"), peerPoll: m.Histogram("latency", "peer_ask"),
		proofAge: m.Histogram("latency", "proof_age"),
	}
}

// logFreshness tells each loss and return of what the daemon relies on.
func (g *Gateway) logFreshness(ctx context.Context) {
	fresh, share := true, -1.0
	lostAt := time.Time{}
	for ctx.Err() == nil {
		if current := g.freshWithin(keyTrustShare); current != fresh && g.routes.Load() != nil {
			fresh = current
			if !current {
				lostAt = time.Now()
				g.log.WithField("proof_ms", g.ProofAge().Milliseconds()).WithField("store_lost_ms", g.StoreLost().Milliseconds()).
					Warn("Configuration is not proved any more: keys are refused.")
			} else {
				g.log.WithField("away_ms", time.Since(lostAt).Milliseconds()).Info("Configuration is proved again.")
			}
		}
		if current := g.ledger.Share(); current != share {
			g.log.WithField("share", current).WithField("before", share).Info("Share of the quotas changed.")
			share = current
		}
		wait.For(ctx, freshnessCheckInterval)
	}
}

// logDrain tells each second what a shutdown still waits for, until ctx ends.
func (g *Gateway) logDrain(ctx context.Context) {
	for {
		wait.For(ctx, drainLogInterval)
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
