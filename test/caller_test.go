package test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	engine "github.com/lycheekeel/lycheekeel/internal/standin/engine"
)

// answer is what one caller received.
type answer struct {
	status      int
	requestID   string
	text        string
	complete    bool // the answer arrived completely
	code        string
	notRun      any // of a refusal: true, false or "unknown"
	err         error
	firstAt     time.Time // of the first text
	endAt       time.Time
	onFirstText func()
}

// call is one request of a caller.
type call struct {
	prompt    string // the prompt
	tier      string
	stream    bool
	maxTokens int
	header    map[string]string
	// onFirstText, if set, is called when the first text arrives.
	onFirstText func()
}

// newClient returns a client that opens a connection for every request, as
// callers behind a load balancer do, and never retries.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
}

// chat sends one chat request to an address and reads the answer to its end.
func chat(ctx context.Context, address string, c call) answer {
	body, _ := json.Marshal(map[string]any{
		"model": testModel, "stream": c.stream, "max_tokens": max(c.maxTokens, 16),
		"messages": []map[string]string{{"role": "user", "content": c.prompt}},
	})
	return send(ctx, address, "/v1/chat/completions", body, c)
}

// send posts a body and reads the plain or streamed answer.
func send(ctx context.Context, address, path string, body []byte, c call) answer {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.GetBody = nil // keeps the transport from retrying
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+testKey)
	if c.tier != "" {
		req.Header.Set("X-Lycheekeel-Tier", c.tier)
	}
	for k, v := range c.header {
		req.Header.Set(k, v)
	}
	resp, err := newClient().Do(req)
	if err != nil {
		return answer{err: err, endAt: time.Now()}
	}
	defer resp.Body.Close()
	a := answer{status: resp.StatusCode, requestID: resp.Header.Get("X-Request-Id"), onFirstText: c.onFirstText}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		a.readEvents(resp.Body)
	} else {
		a.readPlain(resp.Body)
	}
	a.endAt = time.Now()
	return a
}

// apiResponse holds the fields of OpenAI answers, chunks and errors that tests read.
type apiResponse struct {
	Choices []struct {
		Message      struct{ Content string }
		Delta        struct{ Content string }
		FinishReason string `json:"finish_reason"`
	}
	Error *struct {
		Code   string
		NotRun any `json:"not_run"`
	}
}

func (a *answer) readPlain(r io.Reader) {
	data, err := io.ReadAll(r)
	a.err = err
	var w apiResponse
	if err == nil && json.Unmarshal(data, &w) == nil {
		a.apply(w)
		a.complete = a.status == http.StatusOK && a.code == ""
	}
	if a.text == "" && a.code == "" {
		a.text = string(data)
	}
}

func (a *answer) readEvents(r io.Reader) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			a.complete = a.code == ""
			continue
		}
		var w apiResponse
		if err := json.Unmarshal([]byte(data), &w); err != nil {
			a.err = err
			return
		}
		a.apply(w)
	}
	if a.err == nil {
		a.err = lines.Err()
	}
}

func (a *answer) apply(w apiResponse) {
	if w.Error != nil {
		a.code, a.notRun = w.Error.Code, w.Error.NotRun
	}
	for _, c := range w.Choices {
		text := c.Message.Content + c.Delta.Content
		if text != "" && a.firstAt.IsZero() {
			a.firstAt = time.Now()
			if a.onFirstText != nil {
				a.onFirstText()
			}
		}
		a.text += text
	}
}

// result is a call with its answer.
type result struct {
	call   call
	answer answer
}

// echoCall returns a call and its expected answer, a text that is unique within
// the test. Calls with an even n are streamed.
func echoCall(caller, n, words int) (call, string) {
	text := fmt.Sprintf("lane %d call %d%s.", caller, n, strings.Repeat(" snag list", words))
	tiers := []string{"handover", "report", "summary", "tag"}
	return call{prompt: "echo:" + text, stream: n%2 == 0, tier: tiers[n%len(tiers)], maxTokens: 4096}, text
}

// checkAnswers fails the test if a caller received another caller's text or a
// truncated answer marked as complete, if a request refused as not run did run,
// or if the engines' run logs list a request twice. It returns the number of
// complete answers, of refusals by code, and of requests that ended with neither.
func checkAnswers(t testing.TB, c *cluster, results []result) (complete int, refused map[string]int, failed int) {
	t.Helper()
	runs := map[string]int{}
	for _, r := range c.runs() {
		runs[r.RequestID]++
		if runs[r.RequestID] == 2 {
			t.Errorf("request %s was dispatched twice", r.RequestID)
		}
	}
	refused = map[string]int{}
	for _, r := range results {
		a := r.answer
		want := strings.TrimPrefix(r.call.prompt, engine.PrefixEcho)
		switch {
		case a.complete && a.text != want:
			t.Errorf("a complete answer has the wrong text: want %q, got %q", want, a.text)
		case a.complete:
			complete++
		case a.code != "":
			refused[a.code]++
			if a.notRun == true && runs[a.requestID] != 0 {
				t.Errorf("request %s was refused as not run (%s), but ran", a.requestID, a.code)
			}
		default:
			failed++
			t.Logf("failed: request %q, status %d, error %v, got %q of %q", a.requestID, a.status, a.err, a.text, want)
			if !strings.HasPrefix(want, a.text) {
				t.Errorf("a partial answer has the wrong text: want a prefix of %q, got %q", want, a.text)
			}
		}
	}
	return complete, refused, failed
}
