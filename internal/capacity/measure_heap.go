package capacity

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/pool"
	"github.com/valyala/fasthttp"

	"github.com/lycheekeel/lycheekeel/internal/demo"
)

// seriesStreamHeap is the heap of one open stream.
const seriesStreamHeap = "stream_heap"

// The streams that are open during the heap measurement; each lasts longer than it.
const (
	heapStreams      = 200
	heapStreamTokens = 1500
	streamStartDelay = 3 * time.Second // time for all streams to start
)

// measureStreamHeap measures the heap per open or waiting request. Callers and
// stand-in engines run in this process too, so the result is an upper bound of the
// entry's own heap.
func measureStreamHeap(ctx context.Context, m *Measurements, info demo.Info) error {
	client := &fasthttp.Client{StreamResponseBody: true, MaxConnsPerHost: heapStreams}
	before := liveHeapBytes()
	p := pool.New().WithErrors()
	for range heapStreams {
		p.Go(func() error { return streamOnce(client, info, heapStreamTokens) })
	}
	timer := time.NewTimer(streamStartDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	perStream := max(liveHeapBytes()-before, 0) / heapStreams
	m.Add(NewSeries(seriesStreamHeap, "live heap of one request, open or waiting, of 200 at once; daemon, stand-in and caller in one process", "requests", "B", []Point{{1, perStream}}))
	return errors.Wrap(p.Wait(), "heap streams")
}
