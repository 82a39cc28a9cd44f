package httpengine_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"

	"github.com/lycheekeel/lycheekeel/engine"
	"github.com/lycheekeel/lycheekeel/engine/httpengine"
	"github.com/lycheekeel/lycheekeel/internal/httpconn"
	standin "github.com/lycheekeel/lycheekeel/internal/standin/engine"
)

// testTimeout bounds waits; only a failing test reaches it.
const testTimeout = 20 * time.Second

// fastEngine is a stand-in whose steps take almost no time.
var fastEngine = standin.Options{StepMs: 0.2, SequenceMs: 0.001, PrefillPerSecond: 1e7, Slots: 64}

func listen(t testing.TB) net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

// serve starts a stand-in behind HTTP and returns it with an adapter.
func serve(t testing.TB, o standin.Options, s httpconn.Settings) (*standin.Engine, *httpengine.Engine) {
	core, err := standin.New(o)
	if err != nil {
		t.Fatal(err)
	}
	ln := listen(t)
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { _ = standin.ServeEngine(ctx, ln, core) })
	t.Cleanup(func() {
		core.Close()
		cancel()
		wg.Wait()
	})
	return core, httpengine.New(ln.Addr().String(), s)
}

func testContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

// readToEnd reads a stream to its end and returns its text and last chunk.
func readToEnd(ctx context.Context, s engine.Stream) (string, engine.Chunk, error) {
	var text strings.Builder
	for {
		c, err := s.Next(ctx)
		if err != nil {
			return text.String(), c, err
		}
		text.WriteString(c.Text)
		if c.End {
			return text.String(), c, s.Close()
		}
	}
}

func echoRun(id, text string) engine.Run {
	last := "echo:" + text
	return engine.Run{RequestID: id, Model: "m", Prompt: last, LastMessage: last, MaxTokens: 4}
}

func TestConcurrentRunsGetTheirOwnAnswers(t *testing.T) {
	Convey("concurrent runs through one adapter get their own answers", t, func() {
		core, e := serve(t, fastEngine, longIdle)
		ctx := testContext(t)
		const callers, each = 64, 10
		var wrong atomic.Int64
		var wg conc.WaitGroup
		for i := range callers {
			wg.Go(func() {
				for j := range each {
					id := fmt.Sprintf("r-%d-%d", i, j)
					want := id + " Bảng Xanh \"quoted\"\n" + strings.Repeat(id, i)
					s, err := e.Run(ctx, echoRun(id, want))
					if err != nil {
						wrong.Add(1)
						return
					}
					if got, _, err := readToEnd(ctx, s); err != nil || got != want {
						wrong.Add(1)
					}
				}
			})
		}
		wg.Wait()
		So(wrong.Load(), ShouldEqual, 0)
		So(core.Runs(), ShouldHaveLength, callers*each)
		So(e.Counts(), ShouldResemble, httpconn.Counts{Dialed: callers * each}) // no connection was reused
	})
}

func TestUnaryCalls(t *testing.T) {
	Convey("load, orders, cache events and KV blocks cross the wire", t, func() {
		o := fastEngine
		o.LoadMs = 0.001
		_, e := serve(t, o, httpconn.Settings{})
		ctx := testContext(t)
		So(e.Order(ctx, engine.Order{Kind: engine.OrderLoadModel, Model: "m", Version: "2", Token: 7}), ShouldBeNil)
		So(errors.Is(e.Order(ctx, engine.Order{Kind: engine.OrderDrain, Token: 6}), engine.ErrStaleToken), ShouldBeTrue)

		var blocks []uint64
		for i := range 3 {
			blocks = append(blocks, 1<<63+uint64(i))
		}
		r := engine.Run{RequestID: "r", Model: "m", Prompt: "p", LastMessage: "gen:2", PromptTokens: 200, MaxTokens: 9, Blocks: blocks}
		s, err := e.Run(ctx, r)
		So(err, ShouldBeNil)
		_, last, err := readToEnd(ctx, s)
		So(err, ShouldBeNil)
		So(last.PrefillComputed, ShouldEqual, 200)
		r.RequestID = "again"
		s, err = e.Run(ctx, r)
		So(err, ShouldBeNil)
		_, last, err = readToEnd(ctx, s)
		So(err, ShouldBeNil)
		So(last.PrefillComputed, ShouldEqual, 200-3*engine.BlockTokens)

		load, err := e.Load(ctx)
		So(err, ShouldBeNil)
		So(load.Models, ShouldResemble, []engine.LoadedModel{{Model: "m", Version: "2"}})
		So(load.Slots, ShouldEqual, 64)
		So(load.Incarnation, ShouldNotEqual, 0)
		events, err := e.CacheEvents(ctx, 1)
		So(err, ShouldBeNil)
		So(events, ShouldResemble, []engine.CacheEvent{{Seq: 2, Block: blocks[1], Stored: true}, {Seq: 3, Block: blocks[0], Stored: true}})

		_, other := serve(t, fastEngine, httpconn.Settings{})
		data, err := e.ExportKV(ctx, blocks[:2])
		So(err, ShouldBeNil)
		So(other.ImportKV(ctx, data), ShouldBeNil)
		s, err = other.Run(ctx, r)
		So(err, ShouldBeNil)
		_, last, err = readToEnd(ctx, s)
		So(err, ShouldBeNil)
		So(last.PrefillComputed, ShouldEqual, 200-2*engine.BlockTokens)
	})
}

func TestStandinControlInterface(t *testing.T) {
	Convey("an engine on two listeners crashes on both and keeps its run log", t, func() {
		o := fastEngine
		o.RestartMs = 500
		core, e := serve(t, o, httpconn.Settings{})
		ln := listen(t)
		ctx, cancel := context.WithCancel(testContext(t))
		var wg conc.WaitGroup
		wg.Go(func() { _ = standin.ServeEngine(ctx, ln, core) })
		defer wg.Wait()
		defer cancel()
		second := httpengine.New(ln.Addr().String(), httpconn.Settings{})
		for _, e := range []*httpengine.Engine{e, second} {
			s, err := e.Run(ctx, echoRun("same", "x"))
			So(err, ShouldBeNil)
			_, _, err = readToEnd(ctx, s)
			So(err, ShouldBeNil)
		}
		before, err := second.Load(ctx)
		So(err, ShouldBeNil)
		So(post(e, standin.PathCrash, ""), ShouldBeNil)
		for _, e := range []*httpengine.Engine{e, second} {
			load := before
			for load.Incarnation == before.Incarnation && ctx.Err() == nil {
				if load, err = e.Load(ctx); err != nil {
					load = before
				}
			}
			So(load.Incarnation, ShouldNotEqual, before.Incarnation)
		}
		resp, err := http.Get("http://" + e.Address() + standin.PathRuns)
		So(err, ShouldBeNil)
		defer resp.Body.Close()
		var runs []struct {
			RequestID       string     `json:"request_id"`
			Model           string     `json:"model"`
			StartedAt       time.Time  `json:"started_at"`
			PromptTokens    int        `json:"prompt_tokens"`
			PrefillComputed int        `json:"prefill_computed"`
			Ended           *time.Time `json:"ended"`
			Outcome         string     `json:"outcome"`
		}
		So(json.NewDecoder(resp.Body).Decode(&runs), ShouldBeNil)
		So(runs, ShouldHaveLength, 2) // the log keeps both runs of the same id
		for _, r := range runs {
			So(r.RequestID+" "+r.Model+" "+r.Outcome, ShouldEqual, "same m stop")
			So(r.PromptTokens, ShouldEqual, r.PrefillComputed)
			So(r.Ended.Before(r.StartedAt), ShouldBeFalse)
		}
		So(post(e, standin.PathFaults, `{"no_such_fault":1}`), ShouldNotBeNil)
	})
}

// postFaults sets faults over HTTP.
func postFaults(e *httpengine.Engine, body string) error { return post(e, standin.PathFaults, body) }

func post(e *httpengine.Engine, path, body string) error {
	resp, err := http.Post("http://"+e.Address()+path, "application/json", strings.NewReader(body))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", resp.StatusCode)
	}
	return nil
}
