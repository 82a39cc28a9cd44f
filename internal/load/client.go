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

// The parts of the callers' protocol that the client uses.
const (
	chatPath      = "/v1/chat/completions"
	headerTier    = "X-Lycheekeel-Tier"
	headerKey     = "Idempotency-Key"
	headerRequest = "X-Request-Id"
	streamDone    = "[DONE]"
	maxBody       = 64 << 20
)

// client sends requests to one target. It sends nothing twice by itself.
type client struct {
	host  string
	conns *httpconn.Pool
}

func newClient(host string) *client {
	// Callers wait for as long as their context allows, so silence is no
	// error here; it is for the entry to send keepalives.
	return &client{host: host, conns: httpconn.NewPool(host, httpconn.Settings{SilenceTimeout: time.Hour})}
}

// call is one try under way.
type call struct {
	arrival *Arrival
	// began is the moment that times count from.
	began  time.Time
	answer string // expected; empty: any
	try    Try
	text   strings.Builder
	ended  bool // the answer's end mark was seen
	extra  bool // text came after the end mark
	errs   bool // an error came in the stream
}

// send sends the arrival once and reads its answer. ctx ends when the caller
// leaves or gives up.
func (c *client) send(ctx context.Context, a *Arrival, key string, began time.Time) Try {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	k := &call{arrival: a, began: began}
	k.build(req, c.host, key)
	conn, err := c.conns.Send(ctx, req, httpconn.MayReuse, nil)
	if err == nil {
		err = k.read(ctx, conn)
	}
	k.try.Total = time.Since(began)
	k.try.Ending = k.verdict(err)
	return k.try
}

// message is one message of a chat.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// body is a chat request as callers send it.
type body struct {
	Model         string         `json:"model"`
	Messages      []message      `json:"messages"`
	Stream        bool           `json:"stream,omitempty"`
	StreamOptions *streamOptions `json:"stream_options,omitempty"`
	MaxTokens     int            `json:"max_tokens,omitempty"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

func (k *call) build(req *fasthttp.Request, host, key string) {
	a := k.arrival
	system, user, answer := a.Texts()
	k.answer = answer
	b := body{Model: a.Class.Model, Stream: a.Stream, MaxTokens: a.Class.MaxTokens}
	if system != "" {
		b.Messages = append(b.Messages, message{"system", system})
	}
	b.Messages = append(b.Messages, message{"user", user})
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
	if a.Key != "" {
		req.Header.Set(headerKey, a.Key)
	}
	req.SetBodyRaw(raw)
}

// read reads the whole answer from the connection, which it gives back.
func (k *call) read(ctx context.Context, conn *httpconn.Conn) error {
	if err := conn.Bind(ctx); err != nil {
		conn.Discard()
		return err
	}
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	resp.StreamBody = true
	err := resp.ReadLimitBody(conn.Reader, maxBody)
	if err == nil {
		k.header(resp)
		err = k.body(resp)
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

func (k *call) header(resp *fasthttp.Response) {
	k.try.Status = resp.StatusCode()
	k.try.RequestID = string(resp.Header.Peek(headerRequest))
	k.try.RetryAfter = len(resp.Header.Peek(fasthttp.HeaderRetryAfter)) > 0
}

func (k *call) body(resp *fasthttp.Response) error {
	r := resp.BodyStream()
	if strings.HasPrefix(string(resp.Header.ContentType()), "text/event-stream") {
		return k.events(r)
	}
	raw, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	if k.try.Status != fasthttp.StatusOK {
		k.refusal(gjson.ParseBytes(raw))
		return nil
	}
	return k.plain(raw)
}

// plain reads an answer that is not streamed.
func (k *call) plain(raw []byte) error {
	if !gjson.ValidBytes(raw) {
		return errors.New("answer is no valid JSON")
	}
	v := gjson.ParseBytes(raw)
	k.text.WriteString(v.Get("choices.0.message.content").Str)
	k.ended = v.Get("choices.0.finish_reason").Str != ""
	k.try.Tokens = int(v.Get("usage.completion_tokens").Int())
	return nil
}

// events reads a stream of server-sent events to its end.
func (k *call) events(r io.Reader) error {
	lines := bufio.NewReader(r)
	done := false
	for {
		line, err := lines.ReadString('\n')
		if data, ok := strings.CutPrefix(strings.TrimRight(line, "\r\n"), "data:"); ok {
			data = strings.TrimSpace(data)
			if done {
				k.extra = true
			}
			if data == streamDone {
				done = true
			} else {
				k.event(gjson.Parse(data))
			}
		}
		if err == io.EOF {
			k.ended = k.ended && done
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (k *call) event(v gjson.Result) {
	if v.Get("error").Exists() {
		k.refusal(v)
		k.errs = true
		return
	}
	if n := v.Get("usage.completion_tokens"); n.Exists() {
		k.try.Tokens = int(n.Int())
	}
	if text := v.Get("choices.0.delta.content").Str; text != "" {
		if k.try.FirstToken == 0 {
			k.try.FirstToken = time.Since(k.began)
		}
		k.extra = k.extra || k.ended
		k.text.WriteString(text)
	}
	if v.Get("choices.0.finish_reason").Str != "" {
		k.extra = k.extra || k.ended
		k.ended = true
	}
}

func (k *call) refusal(v gjson.Result) {
	k.try.Reason = v.Get("error.code").String()
	k.try.NotRun = v.Get("error.not_run").String()
}

// verdict judges the try after its answer was read as far as it came.
func (k *call) verdict(err error) Ending {
	text := k.text.String()
	if k.try.Tokens == 0 {
		k.try.Tokens = estimateTokens(text)
	}
	switch {
	case errors.Is(err, engine.ErrNotSent):
		return NotSent
	case err != nil && k.try.Status == 0:
		return Lost
	case k.errs && k.try.Reason != "":
		return Failed
	case err != nil || k.errs:
		return Cut
	case k.try.Status != fasthttp.StatusOK:
		return k.refused()
	case !k.ended:
		return Cut
	case k.extra:
		return Doubled
	default:
		return k.compare(text)
	}
}

// refused judges an answer that is no success: without a typed reason the
// caller can't know what to do, which is as bad as no answer.
func (k *call) refused() Ending {
	if k.try.Reason == "" {
		return Lost
	}
	return Refused
}

func (k *call) compare(text string) Ending {
	mark, _, _ := strings.Cut(k.answer, ">")
	switch {
	case k.answer == "":
		return k.complete(text)
	case text == k.answer:
		return Whole
	case strings.HasPrefix(text, "<") && !strings.HasPrefix(text, mark+">"):
		return Crossed
	default:
		return Wrong
	}
}

// complete judges an answer whose text is not known before by its length.
func (k *call) complete(text string) Ending {
	if estimateTokens(text) >= k.arrival.OutputTokens {
		return Whole
	}
	return Cut
}
