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

// slowEngine takes at least a second for longText.
var slowEngine = standin.Options{StepMs: 10}

// longText is a text of a few hundred tokens.
var longText = strings.Repeat("cracked tile in the hall; ", 40)

// openStream sends a streamed chat and returns the response once its header has arrived.
func (r *rig) openStream(ctx context.Context, text string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.url+pathChat, bytes.NewReader(chatBody(testModel, text, true)))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	return http.DefaultClient.Do(req)
}

// streamResult is the content of a stream.
type streamResult struct {
	text, code string
	done       bool
	err        error // error at the end of the body
}

// readStream reads a stream to its end.
func readStream(body io.Reader) streamResult {
	var e streamResult
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
			generationResponse
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

// setFaults sets an engine's faults over HTTP; only this way do they affect its existing
// connections.
func (r *rig) setFaults(json string) {
	resp, err := http.Post("http://"+r.engineAddr+standin.PathFaults, "application/json", strings.NewReader(json))
	if err != nil {
		r.tb.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		r.tb.Fatalf("faults %s: status %d", json, resp.StatusCode)
	}
}

// Guards against: engines compute prompts for callers that have disconnected.
func TestCallerDisconnectIsDetected(t *testing.T) {
	Convey("A caller that disconnects", t, func() {
		r := newRig(t, slowEngine, Limits{}, shortSilence)
		ctx, disconnect := context.WithCancel(context.Background())
		defer disconnect()
		Convey("while its request waits: the request is withdrawn and not dispatched", func() {
			r.broker.hold.Store(true)
			go func() { _, _ = r.openStream(ctx, "echo:x") }()
			r.eventually("request waits", func() bool { return r.broker.waiting.Load() == 1 })
			disconnect()
			r.eventually("request is withdrawn", func() bool { return r.broker.waiting.Load() == 0 })
			r.eventually("refusal is counted", func() bool { return r.counter(groupRefusals, string(request.ReasonCallerGone)) == 1 })
			So(r.engine.Runs(), ShouldBeEmpty)
			r.eventually("memory is released", func() bool { return r.entry.account.Used() == 0 })
		})
		Convey("while its answer is streamed: the run is cancelled and the slot freed", func() {
			resp, err := r.openStream(ctx, "echo:"+longText)
			So(err, ShouldBeNil)
			defer resp.Body.Close()
			disconnect()
			r.eventually("slot is freed", func() bool { return len(r.broker.outcomes()) == 1 })
			So(r.broker.outcomes()[0], ShouldEqual, pool.OutcomeCanceled)
			r.eventually("run is cancelled", func() bool { return r.engine.Runs()[0].Outcome == standin.OutcomeCancelled })
			So(r.counter(groupPrefill, "wasted_tokens"), ShouldBeGreaterThan, 0)
		})
	})
}

// Guards against: the watch for disconnects consumes the next request on the connection.
func TestPipelinedRequestsAreServedInOrder(t *testing.T) {
	Convey("Two pipelined requests are answered in order", t, func() {
		r := newRig(t, standin.Options{}, Limits{}, longSilence)
		one := func(text, more string) string {
			body := string(chatBody(testModel, "echo:"+text, false))
			return fmt.Sprintf("%s%sContent-Length: %d\r\n\r\n%s", requestHead, more, len(body), body)
		}
		for range 10 {
			r.broker.freed = make(chan struct{})
			r.broker.hold.Store(true)
			conn := r.dial()
			_, err := io.WriteString(conn, one("first", ""))
			So(err, ShouldBeNil)
			r.eventually("first request waits", func() bool { return r.broker.waiting.Load() == 1 })
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

// Guards against: an answer is incomplete, or its prompt is computed twice, after a connection is lost.
func TestBrokenStreamIsResumed(t *testing.T) {
	Convey("The complete answer arrives, from one run", t, func() {
		r := newRig(t, slowEngine, Limits{}, shortSilence)
		Convey("when the connection goes silent in mid-answer", func() {
			resp, err := r.openStream(context.Background(), "echo:"+longText)
			So(err, ShouldBeNil)
			defer resp.Body.Close()
			r.setFaults(`{"silent":"existing"}`)
			e := readStream(resp.Body)
			So(e.err, ShouldBeNil)
			So(e.text, ShouldEqual, longText)
			So(e.done, ShouldBeTrue)
			So(r.counter(groupResumes, string(resumeConnectionLost)), ShouldBeGreaterThan, 0)
			So(len(r.engine.Runs()), ShouldEqual, 1)
		})
		Convey("when the connection goes silent after a long time without a token", func() {
			r := newRig(t, slowEngine, Limits{ResumeWindow: time.Second}, shortSilence)
			r.setFaults(`{"answer_delay_ms":2500}`)
			sent, got := time.Now(), make(chan string, 1)
			go func() {
				answer, _ := r.echo("late but whole", false)
				got <- answer
			}()
			r.eventually("resume window has passed", func() bool { return time.Since(sent) > 1500*time.Millisecond })
			r.setFaults(`{"silent":"existing"}`)
			So(<-got, ShouldEqual, "late but whole")
			So(len(r.engine.Runs()), ShouldEqual, 1)
		})
		Convey("when the engine swaps two answers", func() {
			r.setFaults(`{"cross_answers":1,"answer_delay_ms":100}`)
			got := make(chan string, 2)
			texts := []string{longText + "one", longText + "two"}
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
			So(r.counter(groupResumes, string(resumeMismatch)), ShouldBeGreaterThan, 0)
		})
	})
}

// Guards against: a caller takes an incomplete answer for a complete one.
func TestIncompleteAnswerIsReported(t *testing.T) {
	Convey("When the engine loses the run", t, func() {
		r := newRig(t, slowEngine, Limits{ResumeWindow: 3 * time.Second}, shortSilence)
		Convey("a stream ends with an error event and a broken body", func() {
			resp, err := r.openStream(context.Background(), "echo:"+longText)
			So(err, ShouldBeNil)
			defer resp.Body.Close()
			r.engine.Crash()
			e := readStream(resp.Body)
			So(e.done, ShouldBeFalse)
			So(e.code, ShouldEqual, string(request.ReasonEngineLost))
			So(e.err, ShouldNotBeNil)
			So(strings.HasPrefix(longText, e.text), ShouldBeTrue)
		})
		Convey("a plain request gets a refusal that says that it ran", func() {
			refused := make(chan [2]any, 1)
			go func() {
				_, body := r.post(pathChat, chatBody(testModel, "echo:"+longText, false))
				code, notRun := refusalOf(body)
				refused <- [2]any{code, notRun}
			}()
			r.eventually("progress is reported", func() bool { return r.broker.progressReports.Load() > 0 })
			r.engine.Crash()
			So(<-refused, ShouldResemble, [2]any{string(request.ReasonEngineLost), false})
		})
		Reset(func() {
			So(r.broker.outcomes(), ShouldResemble, []pool.Outcome{pool.OutcomeCrashed})
			So(len(r.engine.Runs()), ShouldEqual, 1)
		})
	})
}

// Guards against: a request is lost, or runs on two engines, after a failed connect.
func TestFailedConnectIsRequeued(t *testing.T) {
	Convey("A request whose connect failed is dispatched once, to another server", t, func() {
		r := newRig(t, standin.Options{}, Limits{}, longSilence)
		unreachable := "127.0.0.1:1"
		r.broker.nextAddress.Store(&unreachable)
		got, err := r.echo("hello", false)
		So(err, ShouldBeNil)
		So(got, ShouldEqual, "hello")
		So(r.broker.outcomes(), ShouldResemble, []pool.Outcome{pool.OutcomeNotSent, pool.OutcomeDone})
		So(len(r.engine.Runs()), ShouldEqual, 1)
		So(r.counter(groupRequests, "connect_failed"), ShouldEqual, 1)
	})
}

func TestEngineRefusal(t *testing.T) {
	Convey("A request that the engine refused gets a typed refusal", t, func() {
		r := newRig(t, standin.Options{}, Limits{}, longSilence)
		r.setFaults(`{"refuse":true}`)
		resp, body := r.post(pathChat, chatBody(testModel, "echo:x", true))
		code, notRun := refusalOf(body)
		So(code, ShouldEqual, string(request.ReasonEngineRefused))
		So(notRun, ShouldEqual, true)
		So(resp.Header.Get("Retry-After"), ShouldNotBeEmpty)
		So(r.broker.outcomes(), ShouldResemble, []pool.Outcome{pool.OutcomeRefused})
		So(r.engine.Runs(), ShouldBeEmpty)
	})
}

// Guards against: callers get incomplete answers whenever an entry is replaced.
func TestShutdownCompletesOpenStreams(t *testing.T) {
	Convey("A stream that is open at shutdown is completed", t, func() {
		r := newRig(t, slowEngine, Limits{}, shortSilence)
		resp, err := r.openStream(context.Background(), "echo:"+longText)
		So(err, ShouldBeNil)
		defer resp.Body.Close()
		stopped := make(chan error, 1)
		go func() { stopped <- r.entry.Shutdown(context.Background()) }()
		r.eventually("entry drains", r.entry.draining.isSet)
		e := readStream(resp.Body)
		So(e.err, ShouldBeNil)
		So(e.done, ShouldBeTrue)
		So(e.text, ShouldEqual, longText)
		So(<-stopped, ShouldBeNil)
	})
}

// Guards against: background requests are refused for their waiting time, although engines are free again.
func TestRunTimeLimitStartsAtDispatch(t *testing.T) {
	Convey("The run time limit", t, func() {
		const longest = 300 * time.Millisecond
		Convey("does not include the waiting time", func() {
			r := newRig(t, standin.Options{}, Limits{MaxRunTime: longest}, longSilence)
			r.broker.hold.Store(true)
			sent, got := time.Now(), make(chan string, 1)
			go func() {
				answer, _ := r.echo("late", false)
				got <- answer
			}()
			r.eventually("run time limit has passed", func() bool { return time.Since(sent) > 2*longest })
			close(r.broker.freed)
			So(<-got, ShouldEqual, "late")
		})
		Convey("cancels a run that takes too long", func() {
			r := newRig(t, slowEngine, Limits{MaxRunTime: longest}, longSilence)
			_, body := r.post(pathChat, chatBody(testModel, "echo:"+longText, false))
			code, notRun := refusalOf(body)
			So(code, ShouldEqual, string(request.ReasonAnswerIncomplete))
			So(notRun, ShouldEqual, false)
			So(r.broker.outcomes(), ShouldResemble, []pool.Outcome{pool.OutcomeCanceled})
			r.eventually("run is cancelled", func() bool { return r.engine.Runs()[0].Outcome == standin.OutcomeCancelled })
		})
	})
}

// BenchmarkCallerDisconnect measures how soon a caller's disconnect is detected.
func BenchmarkCallerDisconnect(b *testing.B) {
	r := newRig(b, standin.Options{}, Limits{}, longSilence)
	r.broker.hold.Store(true)
	body := chatBody(testModel, "echo:x", false)
	request := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", requestHead, len(body), body)
	b.ResetTimer()
	var delays []time.Duration
	for range b.N {
		conn := r.dial()
		if _, err := io.WriteString(conn, request); err != nil {
			b.Fatal(err)
		}
		for r.broker.waiting.Load() != 1 {
			runtime.Gosched()
		}
		closedAt := time.Now()
		_ = conn.Close()
		for r.broker.waiting.Load() != 0 {
			runtime.Gosched()
		}
		delays = append(delays, time.Since(closedAt))
	}
	slices.Sort(delays)
	b.ReportMetric(float64(delays[len(delays)/2].Microseconds()), "p50_us")
	b.ReportMetric(float64(delays[len(delays)*99/100].Microseconds()), "p99_us")
}
