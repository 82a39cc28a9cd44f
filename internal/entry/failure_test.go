package entry

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	standin "github.com/lycheekeel/lycheekeel/internal/standin/engine"
	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/lycheekeel/lycheekeel/request"
)

// slow is an engine that takes a second or more for the long text.
var slow = standin.Options{StepMs: 10}

// long is a text of a few hundred tokens.
var long = strings.Repeat("cracked tile in the hall; ", 40)

// open sends a streamed chat and returns the response once it has begun.
func (r *rig) open(ctx context.Context, text string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.url+pathChat, bytes.NewReader(chatBody(testModel, text, true)))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	return http.DefaultClient.Do(req)
}

// events are what a stream brought.
type events struct {
	text, code string
	done       bool
	err        error // how the body ended
}

// read reads a stream to its end.
func read(body io.Reader) events {
	var e events
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), sseData)
		if !ok {
			continue
		}
		if data == "[DONE]" {
			e.done = true
			continue
		}
		var g struct {
			generated
			Error *errorDetail `json:"error"`
		}
		if json.Unmarshal([]byte(data), &g) != nil {
			continue
		}
		if g.Error != nil {
			e.code = g.Error.Code
		}
		for _, c := range g.Choices {
			if c.Delta != nil && c.Delta.Content != nil {
				e.text += *c.Delta.Content
			}
		}
	}
	e.err = lines.Err()
	return e
}

// faults switches an engine's faults over HTTP, as only that reaches its
// connections.
func (r *rig) faults(json string) {
	resp, err := http.Post("http://"+r.engineAddr+standin.PathFaults, "application/json", strings.NewReader(json))
	if err != nil {
		r.tb.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		r.tb.Fatalf("faults %s: status %d", json, resp.StatusCode)
	}
}

// Guards against this: prompts are computed for callers that have left.
func TestCallerThatLeavesIsNoticed(t *testing.T) {
	Convey("A caller that leaves", t, func() {
		r := newRig(t, slow, Limits{}, quick)
		ctx, leave := context.WithCancel(context.Background())
		defer leave()
		Convey("while its request waits: it is withdrawn and never dispatched", func() {
			r.broker.hold.Store(true)
			go func() { _, _ = r.open(ctx, "echo:x") }()
			r.eventually("request waits", func() bool { return r.broker.waiting.Load() == 1 })
			leave()
			r.eventually("request is withdrawn", func() bool { return r.broker.waiting.Load() == 0 })
			r.eventually("it is counted", func() bool { return r.counter(groupRefusals, string(request.ReasonCallerGone)) == 1 })
			So(r.engine.Runs(), ShouldBeEmpty)
			r.eventually("memory is given back", func() bool { return r.entry.bodies.Used() == 0 })
		})
		Convey("while its answer is streamed: the run is cancelled and the slot freed", func() {
			resp, err := r.open(ctx, "echo:"+long)
			So(err, ShouldBeNil)
			defer resp.Body.Close()
			leave()
			r.eventually("slot is freed", func() bool { return len(r.broker.outcomes()) == 1 })
			So(r.broker.outcomes()[0], ShouldEqual, pool.OutcomeCanceled)
			r.eventually("run is cancelled", func() bool { return r.engine.Runs()[0].Outcome == standin.OutcomeCancelled })
			So(r.counter(groupPrefill, "wasted_tokens"), ShouldBeGreaterThan, 0)
		})
	})
}

// Guards against this: a second request on a connection is lost.
func TestWatchLeavesPipelinedRequests(t *testing.T) {
	Convey("Two requests sent at once get their answers in order", t, func() {
		r := newRig(t, standin.Options{}, Limits{}, patient)
		one := func(text, more string) string {
			body := string(chatBody(testModel, "echo:"+text, false))
			return fmt.Sprintf("%s%sContent-Length: %d\r\n\r\n%s", head, more, len(body), body)
		}
		for range 10 {
			r.broker.freed = make(chan struct{})
			r.broker.hold.Store(true)
			conn := r.dial()
			_, err := io.WriteString(conn, one("first", ""))
			So(err, ShouldBeNil)
			r.eventually("the first waits", func() bool { return r.broker.waiting.Load() == 1 })
			_, err = io.WriteString(conn, one("second", "Connection: close\r\n"))
			So(err, ShouldBeNil)
			runtime.Gosched()
			r.broker.hold.Store(false)
			close(r.broker.freed)
			all, err := io.ReadAll(conn)
			So(err, ShouldBeNil)
			So(conn.Close(), ShouldBeNil)
			first, second := bytes.Index(all, []byte(`"first"`)), bytes.Index(all, []byte(`"second"`))
			So(first, ShouldBeGreaterThan, 0)
			So(second, ShouldBeGreaterThan, first)
		}
	})
}

// Guards against this: a caller gets half an answer, or its prompt is computed twice.
func TestBrokenStreamIsResumed(t *testing.T) {
	Convey("The whole answer comes, from one run", t, func() {
		r := newRig(t, slow, Limits{}, quick)
		Convey("when the connection goes silent in the middle of it", func() {
			resp, err := r.open(context.Background(), "echo:"+long)
			So(err, ShouldBeNil)
			defer resp.Body.Close()
			r.faults(`{"silent":"existing"}`)
			e := read(resp.Body)
			So(e.err, ShouldBeNil)
			So(e.text, ShouldEqual, long)
			So(e.done, ShouldBeTrue)
			So(r.counter(groupResumes, string(resumeBroken)), ShouldBeGreaterThan, 0)
			So(len(r.engine.Runs()), ShouldEqual, 1)
		})
		Convey("when it goes silent after a long time without a token", func() {
			r := newRig(t, slow, Limits{ResumeWindow: time.Second}, quick)
			r.faults(`{"answer_delay_ms":2500}`)
			sent, got := time.Now(), make(chan string, 1)
			go func() {
				answer, _ := r.echo("late but whole", false)
				got <- answer
			}()
			r.eventually("longer than the window", func() bool { return time.Since(sent) > 1500*time.Millisecond })
			r.faults(`{"silent":"existing"}`)
			So(<-got, ShouldEqual, "late but whole")
			So(len(r.engine.Runs()), ShouldEqual, 1)
		})
		Convey("when two answers come crossed", func() {
			r.faults(`{"cross_answers":1,"answer_delay_ms":100}`)
			got := make(chan string, 2)
			texts := []string{long + "one", long + "two"}
			for _, text := range texts {
				go func() {
					answer, err := r.echo(text, false)
					if err != nil {
						answer = err.Error()
					}
					got <- answer
				}()
			}
			So([]string{<-got, <-got}, ShouldContain, texts[0])
			So(len(r.engine.Runs()), ShouldEqual, 2)
			So(r.counter(groupRequests, "whole_answers"), ShouldEqual, 2)
			So(r.counter(groupResumes, string(resumeCrossed)), ShouldBeGreaterThan, 0)
		})
	})
}

// Guards against this: a caller takes half an answer for a whole one.
func TestCutAnswerIsNeverPassedAsWhole(t *testing.T) {
	Convey("When the engine loses the run", t, func() {
		r := newRig(t, slow, Limits{ResumeWindow: 3 * time.Second}, quick)
		Convey("a stream ends with an error event and a broken body", func() {
			resp, err := r.open(context.Background(), "echo:"+long)
			So(err, ShouldBeNil)
			defer resp.Body.Close()
			r.engine.Crash()
			e := read(resp.Body)
			So(e.done, ShouldBeFalse)
			So(e.code, ShouldEqual, string(request.ReasonEngineLost))
			So(e.err, ShouldNotBeNil)
			So(strings.HasPrefix(long, e.text), ShouldBeTrue)
		})
		Convey("a plain answer is a typed error that says that it ran", func() {
			refused := make(chan [2]any, 1)
			go func() {
				_, body := r.post(pathChat, chatBody(testModel, "echo:"+long, false))
				code, notRun := refusalOf(body)
				refused <- [2]any{code, notRun}
			}()
			r.eventually("tokens come", func() bool { return r.broker.progressed.Load() > 0 })
			r.engine.Crash()
			So(<-refused, ShouldResemble, [2]any{string(request.ReasonEngineLost), false})
		})
		Reset(func() {
			So(r.broker.outcomes(), ShouldResemble, []pool.Outcome{pool.OutcomeCrashed})
			So(len(r.engine.Runs()), ShouldEqual, 1)
		})
	})
}

// Guards against this: a request runs on two engines, or is lost with the first one.
func TestFailedConnectGoesToAnotherServer(t *testing.T) {
	Convey("A request whose connect failed is dispatched once, elsewhere", t, func() {
		r := newRig(t, standin.Options{}, Limits{}, patient)
		nobody := "127.0.0.1:1"
		r.broker.address.Store(&nobody)
		got, err := r.echo("hello", false)
		So(err, ShouldBeNil)
		So(got, ShouldEqual, "hello")
		So(r.broker.outcomes(), ShouldResemble, []pool.Outcome{pool.OutcomeNotSent, pool.OutcomeDone})
		So(len(r.engine.Runs()), ShouldEqual, 1)
		So(r.counter(groupRequests, "connect_failed"), ShouldEqual, 1)
	})
}

func TestEngineRefusal(t *testing.T) {
	Convey("A request that the engine refused ends, with what the engine said", t, func() {
		r := newRig(t, standin.Options{}, Limits{}, patient)
		r.faults(`{"refuse":true}`)
		resp, body := r.post(pathChat, chatBody(testModel, "echo:x", true))
		code, notRun := refusalOf(body)
		So(code, ShouldEqual, string(request.ReasonEngineRefused))
		So(notRun, ShouldEqual, true)
		So(resp.Header.Get("Retry-After"), ShouldNotBeEmpty)
		So(r.broker.outcomes(), ShouldResemble, []pool.Outcome{pool.OutcomeRefused})
		So(r.engine.Runs(), ShouldBeEmpty)
	})
}

// Guards against this: callers see broken answers whenever an entry is replaced.
func TestShutdownCutsNothing(t *testing.T) {
	Convey("A stream that runs when the entry stops comes whole", t, func() {
		r := newRig(t, slow, Limits{}, quick)
		resp, err := r.open(context.Background(), "echo:"+long)
		So(err, ShouldBeNil)
		defer resp.Body.Close()
		stopped := make(chan error, 1)
		go func() { stopped <- r.entry.Shutdown(context.Background()) }()
		r.eventually("entry drains", r.entry.draining.isSet)
		e := read(resp.Body)
		So(e.err, ShouldBeNil)
		So(e.done, ShouldBeTrue)
		So(e.text, ShouldEqual, long)
		So(<-stopped, ShouldBeNil)
	})
}

// Guards against this: background requests are refused although engines are free again.
func TestLimitOfARunStartsWithItsDispatch(t *testing.T) {
	Convey("The limit on a run", t, func() {
		const longest = 300 * time.Millisecond
		Convey("does not count the wait", func() {
			r := newRig(t, standin.Options{}, Limits{MaxRun: longest}, patient)
			r.broker.hold.Store(true)
			sent, got := time.Now(), make(chan string, 1)
			go func() {
				answer, _ := r.echo("late", false)
				got <- answer
			}()
			r.eventually("longer than a run may take", func() bool { return time.Since(sent) > 2*longest })
			close(r.broker.freed)
			So(<-got, ShouldEqual, "late")
		})
		Convey("ends a run that takes too long, with a cancel", func() {
			r := newRig(t, slow, Limits{MaxRun: longest}, patient)
			_, body := r.post(pathChat, chatBody(testModel, "echo:"+long, false))
			code, notRun := refusalOf(body)
			So(code, ShouldEqual, string(request.ReasonAnswerIncomplete))
			So(notRun, ShouldEqual, false)
			So(r.broker.outcomes(), ShouldResemble, []pool.Outcome{pool.OutcomeCanceled})
			r.eventually("run is cancelled", func() bool { return r.engine.Runs()[0].Outcome == standin.OutcomeCancelled })
		})
	})
}

// BenchmarkCallerLeaves measures how soon a caller's leaving is noticed.
func BenchmarkCallerLeaves(b *testing.B) {
	r := newRig(b, standin.Options{}, Limits{}, patient)
	r.broker.hold.Store(true)
	body := chatBody(testModel, "echo:x", false)
	request := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	b.ResetTimer()
	var noticed []time.Duration
	for range b.N {
		conn := r.dial()
		if _, err := io.WriteString(conn, request); err != nil {
			b.Fatal(err)
		}
		for r.broker.waiting.Load() != 1 {
			runtime.Gosched()
		}
		left := time.Now()
		_ = conn.Close()
		for r.broker.waiting.Load() != 0 {
			runtime.Gosched()
		}
		noticed = append(noticed, time.Since(left))
	}
	slices.Sort(noticed)
	b.ReportMetric(float64(noticed[len(noticed)/2].Microseconds()), "p50_us")
	b.ReportMetric(float64(noticed[len(noticed)*99/100].Microseconds()), "p99_us")
}
