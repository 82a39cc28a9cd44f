package httpengine_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"runtime"
	"sync/atomic"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/lycheekeel/lycheekeel/engine"
	"github.com/lycheekeel/lycheekeel/engine/httpengine"
	"github.com/lycheekeel/lycheekeel/engine/httpengine/wire"
	"github.com/lycheekeel/lycheekeel/internal/httpconn"
	standin "github.com/lycheekeel/lycheekeel/internal/standin/engine"
)

// instantEngine is a stand-in without simulated computation time.
var instantEngine = standin.Options{StepMs: 0.001, SequenceMs: 1e-6, PrefillPerSecond: 1e9, PrefillChunk: 1 << 20, Slots: 256}

// BenchmarkSmallRequests runs requests of one token from many concurrent callers.
func BenchmarkSmallRequests(b *testing.B) {
	core, adapter := serve(b, instantEngine, httpconn.Settings{})
	for name, e := range map[string]engine.Engine{"direct": core, "http": adapter} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			b.SetParallelism(16)
			var n atomic.Int64
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					benchRun(b, e, fmt.Sprintf("%s-%d", name, n.Add(1)), 1)
				}
			})
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
		})
	}
}

func benchRun(b *testing.B, e engine.Engine, id string, tokens int) (chunks int) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s, err := e.Run(ctx, engine.Run{RequestID: id, Model: "m", Prompt: "p", LastMessage: fmt.Sprintf("gen:%d", tokens), MaxTokens: tokens})
	if err != nil {
		b.Fatal(err)
	}
	for {
		c, err := s.Next(ctx)
		if err != nil {
			b.Fatal(err)
		}
		chunks++
		if c.End {
			_ = s.Close()
			return chunks
		}
	}
}

// renderAnswer returns a complete HTTP response with one chunk for each token.
func renderAnswer(tokens int) []byte {
	var answer bytes.Buffer
	answer.WriteString("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	for i := range tokens {
		line := wire.AppendLine(nil, &wire.Line{RequestID: []byte("r"), Offset: i, Tokens: 1, Text: "word", End: i == tokens-1})
		fmt.Fprintf(&answer, "%x\r\n%s\r\n", len(line), line)
	}
	answer.WriteString("0\r\n\r\n")
	return answer.Bytes()
}

func respondWith(answer []byte) func(net.Conn, int64) bool {
	return func(c net.Conn, _ int64) bool {
		_, err := c.Write(answer)
		return err == nil
	}
}

// BenchmarkAdapterToken measures the adapter's own cost per token: the server sends a
// response that was rendered before.
func BenchmarkAdapterToken(b *testing.B) {
	const tokens = 1000
	e := httpengine.New(newFakeServer(b, respondWith(renderAnswer(tokens))).address, httpconn.Settings{})
	b.ReportAllocs()
	b.ResetTimer()
	for i := 0; i < b.N; i += tokens {
		if n := benchRun(b, e, "r", tokens); n != tokens {
			b.Fatalf("%d chunks", n)
		}
	}
}

// BenchmarkOneCaller measures sequential requests of one token, through the adapter and
// through fasthttp's client.
func BenchmarkOneCaller(b *testing.B) {
	server := newFakeServer(b, respondWith(renderAnswer(1)))
	b.Run("adapter", func(b *testing.B) {
		e := httpengine.New(server.address, httpconn.Settings{})
		b.ReportAllocs()
		for b.Loop() {
			benchRun(b, e, "r", 1)
		}
	})
	b.Run("adapter-new-connection", func(b *testing.B) {
		e := httpengine.New(server.address, httpconn.Settings{IdleTimeout: 1})
		b.ReportAllocs()
		for b.Loop() {
			benchRun(b, e, "r", 1)
		}
	})
	b.Run("fasthttp", func(b *testing.B) {
		c := &fasthttp.HostClient{Addr: server.address, MaxIdemponentCallAttempts: 1}
		body, _ := json.Marshal(wire.Run{RequestID: "r", Model: "m", Prompt: "p", LastMessage: "gen:1", MaxTokens: 1})
		b.ReportAllocs()
		for b.Loop() {
			req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
			req.Header.SetMethod("POST")
			req.SetRequestURI("http://" + server.address + wire.PathRun)
			req.SetBodyRaw(body)
			if err := c.Do(req, resp); err != nil {
				b.Fatal(err)
			}
			var l wire.Line
			if err := wire.ParseLine(bytes.TrimSpace(resp.Body()), &l); err != nil || !l.End {
				b.Fatal(err)
			}
			fasthttp.ReleaseRequest(req)
			fasthttp.ReleaseResponse(resp)
		}
	})
}

// BenchmarkOpenStream measures the memory of a waiting stream, including the server's end
// (one goroutine and one connection).
func BenchmarkOpenStream(b *testing.B) {
	const streams = 1000
	whole := renderAnswer(2)
	server := newFakeServer(b, func(c net.Conn, _ int64) bool {
		_, err := c.Write(whole[:bytes.Index(whole, []byte("}"))+4])
		return err == nil
	})
	e := httpengine.New(server.address, httpconn.Settings{})
	var open [streams]engine.Stream
	memory := func() uint64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapInuse + m.StackInuse
	}
	for b.Loop() {
		before := memory()
		for i := range open {
			s, err := e.Run(context.Background(), engine.Run{RequestID: "r", Prompt: "p"})
			if err == nil {
				_, err = s.Next(context.Background())
			}
			if err != nil {
				b.Fatal(err)
			}
			open[i] = s
		}
		b.ReportMetric(float64(memory()-before)/streams, "B/stream")
		for _, s := range open {
			_ = s.Close()
		}
	}
}
