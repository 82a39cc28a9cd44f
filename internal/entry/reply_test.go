package entry

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"

	"github.com/lycheekeel/lycheekeel/engine"
	standin "github.com/lycheekeel/lycheekeel/internal/standin/engine"
	standinservice "github.com/lycheekeel/lycheekeel/internal/standin/service"
	"github.com/lycheekeel/lycheekeel/internal/testwait"
	"github.com/lycheekeel/lycheekeel/request"
)

// Guards against: services' replies take more memory than there is, or long ones that are read
// together keep each other from their end.
func TestRepliesTakeTheMemoryThatThereIs(t *testing.T) {
	const memory, calls = 8 << 20, 20
	const path = "/services/booking/search/x"
	for name, faults := range map[string]standinServiceFaults{"with": {}, "without": {Chunked: true}} {
		Convey("Long replies "+name+" a length come whole, and give back what they took", t, func() {
			r := newRig(t, standin.Options{}, Limits{BodyBytes: memory}, longSilence)
			r.service.SetFaults(faults)
			content := strings.Repeat("x", 300_000)
			var wg conc.WaitGroup
			for range calls {
				wg.Go(func() {
					resp, body := r.post(path, []byte(content))
					var echo standinservice.Echo
					if err := json.Unmarshal(body, &echo); resp.StatusCode != http.StatusOK || err != nil || echo.Body != content {
						t.Errorf("status %d, %d bytes: %v", resp.StatusCode, len(body), err)
					}
				})
			}
			wg.Wait()
			http.DefaultClient.CloseIdleConnections()
			testwait.Until(t, waitLimit, "all is given back", func() bool { return r.entry.account.Used() == 0 })
		})
	}
	Convey("Replies without end are lost, and then others come whole", t, func() {
		r := newRig(t, standin.Options{}, Limits{BodyBytes: memory}, longSilence)
		r.service.SetFaults(standinServiceFaults{Endless: true})
		var wg conc.WaitGroup
		codes := make([]string, calls)
		for i := range codes {
			wg.Go(func() {
				_, body := r.post(path, fmt.Appendf(nil, "call %d", i))
				codes[i], _ = refusalOf(body)
			})
		}
		wg.Wait()
		So(strings.ReplaceAll(strings.Join(codes, ""), string(request.ReasonAnswerIncomplete), ""), ShouldBeEmpty)
		r.service.SetFaults(standinServiceFaults{})
		resp, _ := r.post(path, []byte("after"))
		So(resp.StatusCode, ShouldEqual, http.StatusOK)
		http.DefaultClient.CloseIdleConnections()
		testwait.Until(t, waitLimit, "all is given back", func() bool { return r.entry.account.Used() == 0 })
	})
}

// longEngine answers every run with chunks of one token each, up to so many bytes in all.
type longEngine struct {
	port
	size  int
	given atomic.Int64
	// half is called by each stream when half of it was given; may be nil.
	half func()
}

// port is embedded for the calls that no test makes.
type port = engine.Engine

const longChunkBytes = 64 << 10

func (e *longEngine) Engine(string) engine.Engine { return e }

func (e *longEngine) Run(_ context.Context, r engine.Run) (engine.Stream, error) {
	return &longStream{engine: e}, r.BeforeSend()
}

func (e *longEngine) Cancel(context.Context, string) error { return nil }

type longStream struct {
	engine *longEngine
	offset int
	ended  bool
}

func (s *longStream) Next(ctx context.Context) (engine.Chunk, error) {
	if s.ended || ctx.Err() != nil {
		return engine.Chunk{}, cmp.Or(ctx.Err(), io.EOF)
	}
	c := engine.Chunk{Offset: s.offset, Tokens: 1, Text: strings.Repeat("x", longChunkBytes)}
	if s.offset == s.engine.size/longChunkBytes/2 && s.engine.half != nil {
		s.engine.half()
	}
	s.offset++
	s.ended = s.offset*longChunkBytes >= s.engine.size
	c.End = s.ended
	s.engine.given.Add(longChunkBytes)
	return c, nil
}

func (s *longStream) Close() error { return nil }

// Guards against: the text of an answer that its engine does not end is kept without a bound.
func TestWholeAnswersTakeTheMemoryThatThereIs(t *testing.T) {
	const memory = 8 << 20
	ask := func(size int) (*rig, *longEngine, *http.Response, []byte) {
		r, e := newRig(t, standin.Options{}, Limits{BodyBytes: memory}, longSilence), &longEngine{size: size}
		r.entry.deps.Engines = e
		resp, body := r.post(pathChat, chatBody(testModel, "echo:x", false))
		http.DefaultClient.CloseIdleConnections()
		testwait.Until(t, waitLimit, "all is given back", func() bool { return r.entry.account.Used() == 0 })
		return r, e, resp, body
	}
	Convey("An answer without end is given up, and all that it took is given back", t, func() {
		_, e, _, body := ask(100 * memory)
		code, notRun := refusalOf(body)
		So([]any{code, notRun}, ShouldResemble, []any{string(request.ReasonAnswerIncomplete), false})
		So(e.given.Load(), ShouldBeLessThanOrEqualTo, memory)
	})
	Convey("Long ones that engines write at the same time come whole", t, func() {
		const together = 4
		var halves sync.WaitGroup
		halves.Add(together)
		r := newRig(t, standin.Options{}, Limits{BodyBytes: memory}, longSilence)
		r.entry.deps.Engines = &longEngine{size: 10 * longChunkBytes, half: func() {
			halves.Done()
			halves.Wait()
		}}
		var wg conc.WaitGroup
		for range together {
			wg.Go(func() {
				if resp, _ := r.post(pathChat, chatBody(testModel, "echo:x", false)); resp.StatusCode != http.StatusOK {
					t.Errorf("status %d", resp.StatusCode)
				}
			})
		}
		wg.Wait()
	})
	Convey("A long one for which there is room comes whole", t, func() {
		_, _, resp, body := ask(memory / 8)
		So(resp.StatusCode, ShouldEqual, http.StatusOK)
		So(strings.Count(string(body), "x"), ShouldBeGreaterThanOrEqualTo, memory/8)
	})
}
