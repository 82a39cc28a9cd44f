package capacity

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"slices"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/pool"
	"github.com/valyala/fasthttp"

	"github.com/lycheekeel/lycheekeel/engine"
	"github.com/lycheekeel/lycheekeel/engine/httpengine"
	"github.com/lycheekeel/lycheekeel/internal/demo"
	"github.com/lycheekeel/lycheekeel/internal/httpconn"
	standin "github.com/lycheekeel/lycheekeel/internal/standin/engine"
)

// Names of the stream series.
const (
	seriesStreamDaemon = "stream_cpu_seconds_by_tokens"
	seriesStreamDirect = "stream_direct_cpu_seconds_by_tokens"
)

// Number of concurrent streams per point, and the size of a token.
const (
	concurrentStreams = 40
	bytesPerToken     = 4
)

// streamLengths are the measured answer lengths in tokens.
var streamLengths = []int{100, 400, 1200}

// measureStreams measures the CPU time of a streamed answer against its length, once
// through a whole daemon and once directly from the stand-in engine. All parties run
// in this process, so the first series is an upper bound. The difference of the slopes
// is the entry's cost per token plus the caller's cost of parsing events.
func measureStreams(ctx context.Context, m *Measurements) error {
	through, err := streamThroughDaemon(ctx, m)
	if err != nil {
		return errors.Wrap(err, "stream through the daemon")
	}
	direct, err := streamDirect(ctx)
	if err != nil {
		return errors.Wrap(err, "stream from the stand-in")
	}
	m.Add(NewSeries(seriesStreamDaemon, "a streamed answer through daemon, stand-in and caller in one process", "tokens", "s", through))
	m.Add(NewSeries(seriesStreamDirect, "the same from the stand-in through the engine adapter alone", "tokens", "s", direct))
	return nil
}

// streamPoints runs one stream to warm up, then concurrent streams of each length.
func streamPoints(run func(tokens int) error) ([]Point, error) {
	if err := run(streamLengths[0]); err != nil {
		return nil, err
	}
	var points []Point
	for _, n := range streamLengths {
		var runErr error
		cost := cpuPerOp(concurrentStreams, func() {
			p := pool.New().WithErrors()
			for range concurrentStreams {
				p.Go(func() error { return run(n) })
			}
			runErr = p.Wait()
		})
		if runErr != nil {
			return nil, runErr
		}
		points = append(points, Point{float64(n), cost})
	}
	return points, nil
}

// streamThroughDaemon measures streams through a demo daemon, and their heap.
func streamThroughDaemon(ctx context.Context, m *Measurements) ([]Point, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ready, done := make(chan demo.Info, 1), make(chan error, 1)
	go func() {
		done <- demo.Run(ctx, demo.Options{Listen: "127.0.0.1:0", Admin: "127.0.0.1:0"}, func(i demo.Info) { ready <- i })
	}()
	var info demo.Info
	select {
	case info = <-ready:
	case err := <-done:
		return nil, err
	}
	client := &fasthttp.Client{StreamResponseBody: true, MaxConnsPerHost: concurrentStreams * 2}
	points, err := streamPoints(func(tokens int) error { return streamOnce(client, info, tokens) })
	if err == nil {
		err = measureStreamHeap(ctx, m, info)
	}
	cancel()
	<-done
	return points, err
}

// streamOnce reads one streamed echo of the given number of tokens.
func streamOnce(client *fasthttp.Client, info demo.Info, tokens int) error {
	workspace := slices.Sorted(maps.Keys(info.Keys))[0]
	body, err := json.Marshal(map[string]any{
		"model": info.Models[0], "stream": true,
		"messages": []map[string]string{{"role": "user", "content": standin.PrefixEcho + echoText(tokens)}},
	})
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + info.Listen + "/v1/chat/completions")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+info.Keys[workspace])
	req.SetBody(body)
	if err := client.Do(req, resp); err != nil {
		return errors.Wrap(err, "send request")
	}
	var answer bytes.Buffer
	if _, err := answer.ReadFrom(resp.BodyStream()); err != nil {
		return errors.Wrap(err, "read stream")
	}
	if !bytes.Contains(answer.Bytes(), []byte("[DONE]")) {
		return errors.Errorf("incomplete stream of %d tokens: status %d: %.200s", tokens, resp.StatusCode(), answer.Bytes())
	}
	return nil
}

func echoText(tokens int) string {
	return string(bytes.Repeat([]byte("a"), tokens*bytesPerToken))
}

// streamDirect measures streams from a stand-in through the engine adapter alone.
func streamDirect(ctx context.Context) ([]Point, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	done := make(chan error, 1)
	go func() { done <- standin.Serve(ctx, ln, standin.Options{}) }()
	e := httpengine.New(ln.Addr().String(), httpconn.Settings{})
	nextID := make(chan int, 1)
	nextID <- 0
	points, err := streamPoints(func(tokens int) error {
		n := <-nextID
		nextID <- n + 1
		text := standin.PrefixEcho + echoText(tokens)
		return readStream(ctx, e, engine.Run{RequestID: fmt.Sprint("direct-", n), Prompt: text, LastMessage: text, PromptTokens: tokens, MaxTokens: 2 * tokens})
	})
	cancel()
	<-done
	return points, err
}

// readStream runs a request and reads its whole answer.
func readStream(ctx context.Context, e engine.Engine, r engine.Run) error {
	s, err := e.Run(ctx, r)
	if err != nil {
		return err
	}
	defer s.Close()
	for {
		c, err := s.Next(ctx)
		if err != nil {
			return err
		}
		if c.End {
			return nil
		}
	}
}
