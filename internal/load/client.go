package load

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/tidwall/gjson"
	"github.com/valyala/fasthttp"

	"github.com/lycheekeel/lycheekeel/engine"
	"github.com/lycheekeel/lycheekeel/internal/httpconn"
)

// The parts of the callers' protocol that the client uses, and a limit on answers in
// bytes.
const (
	chatPath      = "/v1/chat/completions"
	headerTier    = "X-Lycheekeel-Tier"
	headerKey     = "Idempotency-Key"
	headerRequest = "X-Request-Id"
	streamDone    = "[DONE]"
	maxBody       = 64 << 20
)

// client sends requests to one target. It does not retry.
type client struct {
	host  string
	conns *httpconn.Pool
}

func newClient(host string) *client {
	// The context limits how long a caller waits, so a long time without a byte is not
	// an error here; the entry has to send keepalives.
	return &client{host: host, conns: httpconn.NewPool(host, httpconn.Settings{SilenceTimeout: time.Hour})}
}

// call is one attempt in progress.
type call struct {
	arrival *Arrival
	// start is the intended send time, from which times count.
	start        time.Time
	wantText     string // expected text; empty if any text is accepted
	attempt      Attempt
	text         strings.Builder
	finished     bool // the answer's end marker was read
	trailingText bool // text followed the end marker
	streamError  bool // the stream contained an error event
}

// send sends the arrival once and reads its answer. ctx ends when the caller
// disconnects or gives up.
func (c *client) send(ctx context.Context, a *Arrival, key string, start time.Time) Attempt {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	k := &call{arrival: a, start: start}
	k.buildRequest(req, c.host, key)
	conn, err := c.conns.Send(ctx, req, httpconn.MayReuse, nil)
	if err == nil {
		err = k.read(ctx, conn)
	}
	k.attempt.Total = time.Since(start)
	k.attempt.Outcome = k.outcome(err)
	return k.attempt
}

// chatMessage is one message of a chat.
type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatRequest is the body of a chat request.
type chatRequest struct {
	Model         string         `json:"model"`
	Messages      []chatMessage  `json:"messages"`
	Stream        bool           `json:"stream,omitempty"`
	StreamOptions *streamOptions `json:"stream_options,omitempty"`
	MaxTokens     int            `json:"max_tokens,omitempty"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

func (k *call) buildRequest(req *fasthttp.Request, host, key string) {
	a := k.arrival
	system, user, answer := a.Texts()
	k.wantText = answer
	b := chatRequest{Model: a.Class.Model, Stream: a.Stream, MaxTokens: a.Class.MaxTokens}
	if system != "" {
		b.Messages = append(b.Messages, chatMessage{"system", system})
	}
	b.Messages = append(b.Messages, chatMessage{"user", user})
	if a.Stream {
		b.StreamOptions = &streamOptions{IncludeUsage: true}
	}
	raw, _ := json.Marshal(&b) // strings and numbers always marshal
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI(chatPath)
	req.Header.SetHost(host)
	req.Header.SetContentType("application/json")
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+key)
	if !a.Class.NoTierHeader {
		req.Header.Set(headerTier, a.Class.Tier)
	}
	if a.IdempotencyKey != "" {
		req.Header.Set(headerKey, a.IdempotencyKey)
	}
	req.SetBodyRaw(raw)
}

// read reads the whole answer from the connection, then releases or discards the
// connection.
func (k *call) read(ctx context.Context, conn *httpconn.Conn) error {
	if err := conn.Bind(ctx); err != nil {
		conn.Discard()
		return err
	}
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	resp.StreamBody = true
	err := conn.ReadResponse(resp, maxBody)
	if err == nil {
		k.readHeader(resp)
		err = k.readBody(resp)
	}
	conn.Unbind()
	if err != nil || resp.ConnectionClose() {
		conn.Discard()
		return err
	}
	_ = resp.CloseBodyStream()
	conn.Release()
	return nil
}

func (k *call) readHeader(resp *fasthttp.Response) {
	k.attempt.Status = resp.StatusCode()
	k.attempt.RequestID = string(resp.Header.Peek(headerRequest))
	k.attempt.RetryAfter = len(resp.Header.Peek(fasthttp.HeaderRetryAfter)) > 0
}

func (k *call) readBody(resp *fasthttp.Response) error {
	r := resp.BodyStream()
	if strings.HasPrefix(string(resp.Header.ContentType()), "text/event-stream") {
		return k.readEvents(r)
	}
	raw, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	if k.attempt.Status != fasthttp.StatusOK {
		k.readError(gjson.ParseBytes(raw))
		return nil
	}
	return k.readPlain(raw)
}

// readPlain reads an answer that is not streamed.
func (k *call) readPlain(raw []byte) error {
	if !gjson.ValidBytes(raw) {
		return errors.New("answer is not valid JSON")
	}
	v := gjson.ParseBytes(raw)
	k.text.WriteString(v.Get("choices.0.message.content").Str)
	k.finished = v.Get("choices.0.finish_reason").Str != ""
	k.attempt.Tokens = int(v.Get("usage.completion_tokens").Int())
	return nil
}

// readEvents reads a stream of server-sent events until it ends.
func (k *call) readEvents(r io.Reader) error {
	lines := bufio.NewReader(r)
	done := false
	for {
		line, err := lines.ReadString('\n')
		if data, ok := strings.CutPrefix(strings.TrimRight(line, "\r\n"), "data:"); ok {
			data = strings.TrimSpace(data)
			if done {
				k.trailingText = true
			}
			if data == streamDone {
				done = true
			} else {
				k.readEvent(gjson.Parse(data))
			}
		}
		if err == io.EOF {
			k.finished = k.finished && done
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (k *call) readEvent(v gjson.Result) {
	if v.Get("error").Exists() {
		k.readError(v)
		k.streamError = true
		return
	}
	if n := v.Get("usage.completion_tokens"); n.Exists() {
		k.attempt.Tokens = int(n.Int())
	}
	if text := v.Get("choices.0.delta.content").Str; text != "" {
		if k.attempt.FirstToken == 0 {
			k.attempt.FirstToken = time.Since(k.start)
		}
		k.trailingText = k.trailingText || k.finished
		k.text.WriteString(text)
	}
	if v.Get("choices.0.finish_reason").Str != "" {
		k.trailingText = k.trailingText || k.finished
		k.finished = true
	}
}

func (k *call) readError(v gjson.Result) {
	k.attempt.Reason = v.Get("error.code").String()
	k.attempt.NotRun = v.Get("error.not_run").String()
}

// outcome returns the outcome of the attempt after reading its answer; err is the read
// error.
func (k *call) outcome(err error) Outcome {
	text := k.text.String()
	if k.attempt.Tokens == 0 {
		k.attempt.Tokens = estimateTokens(text)
	}
	switch {
	case errors.Is(err, engine.ErrNotSent):
		return OutcomeNotSent
	case err != nil && k.attempt.Status == 0:
		return OutcomeNoAnswer
	case k.streamError && k.attempt.Reason != "":
		return OutcomeFailed
	case err != nil || k.streamError:
		return OutcomeTruncated
	case k.attempt.Status != fasthttp.StatusOK:
		return k.nonSuccessOutcome()
	case !k.finished:
		return OutcomeTruncated
	case k.trailingText:
		return OutcomeDuplicated
	default:
		return k.compareText(text)
	}
}

// nonSuccessOutcome returns the outcome of an error status. Without a typed reason the
// caller cannot know whether to retry, which counts as no answer.
func (k *call) nonSuccessOutcome() Outcome {
	if k.attempt.Reason == "" {
		return OutcomeNoAnswer
	}
	return OutcomeRefused
}

func (k *call) compareText(text string) Outcome {
	marker, _, _ := strings.Cut(k.wantText, ">")
	switch {
	case k.wantText == "":
		return k.compareLength(text)
	case text == k.wantText:
		return OutcomeComplete
	case strings.HasPrefix(text, "<") && !strings.HasPrefix(text, marker+">"):
		return OutcomeMisrouted
	default:
		return OutcomeWrong
	}
}

// compareLength checks an answer by its length where its text is not known in advance.
func (k *call) compareLength(text string) Outcome {
	if estimateTokens(text) >= k.arrival.OutputTokens {
		return OutcomeComplete
	}
	return OutcomeTruncated
}
