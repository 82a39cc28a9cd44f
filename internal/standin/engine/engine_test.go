package engine

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"
	"unicode/utf8"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"
	"pgregory.net/rapid"

	port "github.com/lycheekeel/lycheekeel/engine"
	"github.com/lycheekeel/lycheekeel/engine/httpengine/wire"
)

var background = context.Background()

// testOptions make durations easy to compute: a step takes 10 ms plus 1 ms for
// each sequence.
var testOptions = Options{
	Slots: 2, StepMs: 10, SequenceMs: 1, PrefillPerSecond: 10_000, PrefillChunk: 100, KVTokens: 10_000, CacheBlocks: 4,
	LoadMs: 100, RestartMs: 1_000, LingerMs: 5_000, KeepaliveMs: 200, SilenceMs: 1_000,
}

// withFakeClock runs f with a new engine on the fake clock of synctest.
func withFakeClock(t *testing.T, o Options, f func(e *Engine)) {
	synctest.Test(t, func(t *testing.T) {
		Convey(t.Name(), t, func() {
			e, err := New(o)
			So(err, ShouldBeNil)
			defer e.Close()
			f(e)
		})
	})
}

func genRun(id string, prompt, tokens int, blocks ...uint64) port.Run {
	return port.Run{RequestID: id, Model: "m", Prompt: "p", LastMessage: fmt.Sprintf("gen:%d", tokens), PromptTokens: prompt, Blocks: blocks}
}

func startRun(e *Engine, r port.Run) port.Stream {
	s, err := e.Run(background, r)
	So(err, ShouldBeNil)
	return s
}

// readAll reads the stream to its end and returns the last chunk and the time taken.
func readAll(s port.Stream) (port.Chunk, time.Duration, error) {
	start := time.Now()
	for {
		c, err := s.Next(background)
		if err != nil || c.End {
			_ = s.Close()
			return c, time.Since(start), err
		}
	}
}

func outcomes(e *Engine) (out []string) {
	for _, r := range e.Runs() {
		out = append(out, r.RequestID+" "+string(r.Outcome))
	}
	return out
}

func TestStepTimes(t *testing.T) {
	withFakeClock(t, testOptions, func(e *Engine) {
		// Three steps of prefill (100, 100, 50 tokens), then 4 of decode.
		_, d, err := readAll(startRun(e, genRun("a", 250, 5)))
		So(err, ShouldBeNil)
		So(d, ShouldEqual, 3*11*time.Millisecond+25*time.Millisecond+4*11*time.Millisecond)
		// The second sequence makes each step 1 ms longer; the third waits for a slot.
		s := []port.Stream{startRun(e, genRun("b", 1, 10)), startRun(e, genRun("c", 1, 10)), startRun(e, genRun("d", 1, 10))}
		_, d, _ = readAll(s[1])
		So(d, ShouldBeBetweenOrEqual, 10*12*time.Millisecond, 11*12*time.Millisecond) // the second may have joined one step late
		load, _ := e.Load(background)
		So(load.Running+load.Waiting, ShouldBeBetweenOrEqual, 1, 2)
		_, d, _ = readAll(s[2])
		So(d, ShouldBeBetweenOrEqual, 9*11*time.Millisecond, 10*12*time.Millisecond)
		// A straggler that runs at a tenth of the speed.
		So(e.SetFaults(Faults{Speed: 0.1}), ShouldBeNil)
		_, d, _ = readAll(startRun(e, genRun("f", 1, 10)))
		So(d.Round(10*time.Millisecond), ShouldEqual, 10*110*time.Millisecond)
	})
}

func TestPrefixCacheEvents(t *testing.T) {
	withFakeClock(t, testOptions, func(e *Engine) {
		_, _, err := readAll(startRun(e, genRun("a", 300, 1, 1, 2, 3)))
		So(err, ShouldBeNil)
		c, _, _ := readAll(startRun(e, genRun("b", 300, 1, 1, 2, 9)))
		So(c.PrefillComputed, ShouldEqual, 300-2*port.BlockTokens)
		c, _, _ = readAll(startRun(e, genRun("c", 2*port.BlockTokens, 1, 1, 2)))
		So(c.PrefillComputed, ShouldEqual, 1) // the last token is always computed
		_, _, err = readAll(startRun(e, genRun("d", 300, 1, 5)))
		So(err, ShouldBeNil)
		events, _ := e.CacheEvents(background, 4)
		So(events, ShouldResemble, []port.CacheEvent{{Seq: 5, Block: 3}, {Seq: 6, Block: 5, Stored: true}})
		So(e.SetFaults(Faults{DropEvents: 2, ReportLagMs: 500}), ShouldBeNil)
		_, _, err = readAll(startRun(e, genRun("e", 300, 1, 21, 22, 23)))
		So(err, ShouldBeNil)
		events, _ = e.CacheEvents(background, 6)
		So(events, ShouldBeEmpty) // not visible yet
		<-time.After(time.Second)
		events, _ = e.CacheEvents(background, 6)
		So(events, ShouldHaveLength, 3) // three of six events were dropped
		So(events[0].Seq, ShouldEqual, 7)
		So(events[1].Seq, ShouldEqual, 9)
	})
}

// Guards against: a cancelled or abandoned run keeps its slot.
func TestCancelAndAbandonFreeTheSlot(t *testing.T) {
	o := testOptions
	o.Slots = 1
	withFakeClock(t, o, func(e *Engine) {
		s := startRun(e, genRun("long", 1, 60_000))
		_, err := s.Next(background)
		So(err, ShouldBeNil)
		So(e.Cancel(background, "long"), ShouldBeNil)
		_, _, err = readAll(s)
		So(errors.Is(err, port.ErrRunFailed), ShouldBeTrue)
		_, d, err := readAll(startRun(e, genRun("short", 1, 1)))
		So(err, ShouldBeNil)
		So(d, ShouldBeLessThan, 30*time.Millisecond)

		s = startRun(e, genRun("left", 1, 60_000))
		_ = s.Close()
		<-time.After(4 * time.Second)
		s, err = e.Resume(background, "left", 10) // the run still exists
		So(err, ShouldBeNil)
		c, err := s.Next(background)
		So(err, ShouldBeNil)
		So(c.Offset, ShouldEqual, 10)
		_ = s.Close()
		<-time.After(6 * time.Second)
		So(outcomes(e), ShouldResemble, []string{"long cancelled", "short stop", "left abandoned"})
		<-time.After(10 * time.Second)
		_, err = e.Resume(background, "left", 0)
		So(errors.Is(err, port.ErrUnknownRun), ShouldBeTrue)
	})
}

// Guards against: a test misses a duplicate dispatch because the run log shows it once.
func TestRunLogRecordsDuplicateDispatch(t *testing.T) {
	withFakeClock(t, testOptions, func(e *Engine) {
		a, b := startRun(e, genRun("same", 1, 2)), startRun(e, genRun("same", 1, 3))
		_, _, err := readAll(a)
		So(err, ShouldBeNil)
		_, _, err = readAll(b)
		So(err, ShouldBeNil)
		So(outcomes(e), ShouldResemble, []string{"same stop", "same stop"})
	})
}

// Guards against: a delayed report shows current load, or an order with a stale
// fencing token is carried out.
func TestLaggingReportsAndOrders(t *testing.T) {
	o := testOptions
	o.Models = []wire.Model{{Model: "m", Version: "1"}}
	withFakeClock(t, o, func(e *Engine) {
		So(e.SetFaults(Faults{ReportLagMs: 1_000}), ShouldBeNil)
		s := startRun(e, genRun("a", 1, 20)) // ends after 220 ms
		_, _, err := readAll(s)
		So(err, ShouldBeNil)
		<-time.After(900 * time.Millisecond)
		load, _ := e.Load(background)
		So(load.Running, ShouldEqual, 1) // the report still shows the ended run
		So(load.Age, ShouldEqual, time.Second)
		So(e.SetFaults(Faults{}), ShouldBeNil)

		v2 := genRun("b", 1, 1)
		v2.Version = "2"
		order := port.Order{Kind: port.OrderLoadModel, Model: "m", Version: "2", Token: 5}
		So(e.Order(background, order), ShouldBeNil)
		load, _ = e.Load(background)
		So(load.Warming, ShouldBeTrue)
		_, err = e.Run(background, v2)
		So(errors.Is(err, port.ErrRefusedNotRun), ShouldBeTrue)
		<-time.After(150 * time.Millisecond)
		load, _ = e.Load(background)
		So(load.Models, ShouldHaveLength, 2)
		_, _, err = readAll(startRun(e, v2))
		So(err, ShouldBeNil)

		drain := port.Order{Kind: port.OrderDrain, Token: 4}
		So(errors.Is(e.Order(background, drain), port.ErrStaleToken), ShouldBeTrue)
		So(e.SetFaults(Faults{IgnoreFencing: true}), ShouldBeNil)
		So(e.Order(background, drain), ShouldBeNil)
		_, err = e.Run(background, v2)
		So(errors.Is(err, port.ErrRefusedNotRun), ShouldBeTrue)
		So(e.Orders(), ShouldHaveLength, 3)
	})
}

// Guards against: silence, swapped answers or crashes are switched on, but have no effect.
func TestFaultsInProcess(t *testing.T) {
	withFakeClock(t, testOptions, func(e *Engine) {
		old := startRun(e, genRun("old", 1, 500))
		So(e.SetFaults(Faults{Silent: SilenceExisting}), ShouldBeNil)
		_, d, err := readAll(old)
		So(errors.Is(err, port.ErrConnectionLost), ShouldBeTrue)
		So(d, ShouldBeGreaterThanOrEqualTo, time.Second)
		_, _, err = readAll(startRun(e, genRun("new", 1, 2)))
		So(err, ShouldBeNil)
		So(e.SetFaults(Faults{Silent: SilenceAll}), ShouldBeNil)
		_, err = e.Run(background, genRun("lost", 1, 2))
		So(errors.Is(err, port.ErrConnectionLost), ShouldBeTrue)

		So(e.SetFaults(Faults{CrossAnswers: 1}), ShouldBeNil)
		a, b := startRun(e, genRun("a", 1, 2)), startRun(e, genRun("b", 1, 2))
		var wg conc.WaitGroup
		var errs [2]error
		wg.Go(func() { _, _, errs[0] = readAll(a) })
		wg.Go(func() { _, _, errs[1] = readAll(b) })
		wg.Wait()
		So(errors.Is(errs[0], port.ErrRequestMismatch) && errors.Is(errs[1], port.ErrRequestMismatch), ShouldBeTrue)
		_, _, err = readAll(startRun(e, genRun("c", 1, 2)))
		So(err, ShouldBeNil)

		So(e.SetFaults(Faults{CrashText: "poison"}), ShouldBeNil)
		bystander := startRun(e, genRun("bystander", 1, 500))
		r := genRun("poison", 1, 1)
		r.Prompt = "a poison b"
		_, _, err = readAll(startRun(e, r))
		So(errors.Is(err, port.ErrConnectionLost), ShouldBeTrue)
		_, _, err = readAll(bystander)
		So(errors.Is(err, port.ErrConnectionLost), ShouldBeTrue)
		_, err = e.Run(background, genRun("d", 1, 1))
		So(errors.Is(err, port.ErrNotSent), ShouldBeTrue)
		<-time.After(1_100 * time.Millisecond)
		_, _, err = readAll(startRun(e, genRun("d", 1, 1)))
		So(err, ShouldBeNil)
	})
}

// Guards against: an echo answer that is resumed at some offset loses text or
// splits a character.
func TestEchoIsCompleteFromAnyOffset(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.String().Draw(t, "text")
		x := newRun(port.Run{LastMessage: PrefixEcho + text, MaxTokens: 1}, time.Now())
		e := &Engine{}
		from := rapid.IntRange(0, x.totalTokens).Draw(t, "from")
		var got strings.Builder
		take := func(c *cursor, until int) {
			for c.offset < until {
				chunk := c.takeChunk()
				if !utf8.ValidString(chunk.Text) {
					t.Fatalf("chunk %q splits a character", chunk.Text)
				}
				got.WriteString(chunk.Text)
			}
		}
		x.generatedTokens = from
		take(e.newCursor(x, 0), from)
		x.generatedTokens = x.totalTokens
		take(e.newCursor(x, from), x.totalTokens)
		if got.String() != text {
			t.Fatalf("echo answer is %q, want %q", got.String(), text)
		}
	})
}
