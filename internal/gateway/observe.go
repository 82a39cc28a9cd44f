package gateway

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/lycheekeel/lycheekeel/internal/callermem"
	"github.com/lycheekeel/lycheekeel/internal/metrics"
	"github.com/lycheekeel/lycheekeel/internal/wait"
)

// freshnessCheckInterval is how often the freshness of the configuration and the share
// of the quotas are checked for changes, which are logged.
const freshnessCheckInterval = 500 * time.Millisecond

// drainLogInterval is how often a shutdown logs what it waits for.
const drainLogInterval = time.Second

// latencies are the histograms of reads of the store and of readers.
type latencies struct {
	// storeList is of List calls to the store; peerPoll is of polls of a reader, without
	// the time that the reader held them.
	storeList, peerPoll *metrics.Histogram
	// proofAge is the age of the configuration's proof when an API key was checked.
	proofAge *metrics.Histogram
}

func newLatencies(m *metrics.Registry) latencies {
	return latencies{
		storeList: m.Histogram("latency", "store_list"), peerPoll: m.Histogram("latency", "peer_ask"),
		proofAge: m.Histogram("latency", "proof_age"),
	}
}

// logFreshness logs when the configuration can no longer be confirmed, or can again, and when the
// share of the quotas changes.
func (g *Gateway) logFreshness(ctx context.Context) {
	fresh, share := true, -1.0
	lostAt := time.Time{}
	for ctx.Err() == nil {
		if current := g.freshWithin(keyTrustShare); current != fresh && g.routes.Load() != nil {
			fresh = current
			if !current {
				lostAt = time.Now()
				g.log.WithField("proof_ms", g.ProofAge().Milliseconds()).WithField("store_lost_ms", g.StoreLost().Milliseconds()).
					Warn("Configuration can't be confirmed: API keys are refused.")
			} else {
				g.log.WithField("away_ms", time.Since(lostAt).Milliseconds()).Info("Configuration is confirmed again.")
			}
		}
		if current := g.limiter.Share(); current != share {
			g.log.WithField("share", current).WithField("before", share).Info("Quota share changed.")
			share = current
		}
		wait.For(ctx, freshnessCheckInterval)
	}
}

// logDrain logs the open requests and connections of a shutdown until ctx ends.
func (g *Gateway) logDrain(ctx context.Context) {
	for {
		wait.For(ctx, drainLogInterval)
		if ctx.Err() != nil {
			return
		}
		open := g.forward.OpenCounts()
		g.log.WithField("requests", open.Requests).WithField("connections", open.Connections).Info("Still draining.")
	}
}

// serveMetrics serves counters and histograms as text if the settings have an address
// for them. A failure does not affect callers.
func (g *Gateway) serveMetrics() {
	if g.settings.Metrics == "" {
		return
	}
	ln, err := callermem.Listen(context.Background(), g.settings.Metrics)
	if err != nil {
		g.log.WithError(err).Warn("Metrics are not served.")
		return
	}
	handler := func(ctx *fasthttp.RequestCtx) {
		ctx.SetContentType("text/plain; charset=utf-8")
		g.metrics.WriteText(ctx)
	}
	go func() {
		if err := servePort(ln, handler); err != nil {
			g.log.WithError(err).Warn("Metrics server stopped.")
		}
	}()
}
