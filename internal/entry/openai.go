package entry

import (
	"bytes"
	"encoding/json"
	"strings"
	"unicode/utf8"

	"github.com/lycheekeel/lycheekeel/request"
)

// api is one of the two OpenAI APIs that generate text.
type api uint8

// The APIs.
const (
	apiChat api = iota
	apiCompletions
)

// maxRequestedTokens is the largest max_tokens that is accepted; a larger one is probably a
// mistake. The template's limit caps it further.
const maxRequestedTokens = 1 << 24

// generation is a parsed request. Its strings do not alias the HTTP server's buffers.
type generation struct {
	api          api
	model        string
	prompt       string
	lastMessage  string
	maxTokens    int // 0: not set
	stream       bool
	includeUsage bool
}

// generationBody is the JSON body of both APIs. It has only the fields that the
// scheduler uses; see the OpenAI reference for the others.
type generationBody struct {
	Model               string          `json:"model"`
	Messages            []message       `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	N                   *int            `json:"n"`
	Stream              bool            `json:"stream"`
	StreamOptions       *struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// contentPart is one part of a message's content; only text parts are supported.
type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// parseGeneration validates a body and parses it. Every error is a refusal that says
// what is invalid.
func parseGeneration(kind api, body []byte) (*generation, error) {
	if len(body) == 0 {
		return nil, badRequest("the body is empty; send JSON")
	}
	if !utf8.Valid(body) {
		return nil, badRequest("the body is not valid UTF-8")
	}
	var b generationBody
	if err := json.Unmarshal(body, &b); err != nil {
		return nil, badRequest("the body is not the JSON that is expected: %v", err)
	}
	if b.Model == "" {
		return nil, badRequest("model is missing")
	}
	if b.N != nil && *b.N != 1 {
		return nil, badRequest("n must be 1")
	}
	g := &generation{api: kind, model: b.Model, stream: b.Stream}
	g.includeUsage = b.StreamOptions != nil && b.StreamOptions.IncludeUsage
	if err := g.setMaxTokens(b.MaxTokens, b.MaxCompletionTokens); err != nil {
		return nil, err
	}
	if kind == apiChat {
		return g, g.setMessages(b.Messages)
	}
	return g, g.setPrompt(b.Prompt)
}

func (g *generation) setMaxTokens(fields ...*int) error {
	for _, f := range fields {
		if f == nil {
			continue
		}
		if *f < 1 || *f > maxRequestedTokens {
			return badRequest("max_tokens must be from 1 to %d", maxRequestedTokens)
		}
		g.maxTokens = *f
	}
	return nil
}

// setMessages builds the canonical prompt of a chat: role and text of each message, in
// order.
func (g *generation) setMessages(messages []message) error {
	if len(messages) == 0 {
		return badRequest("messages is missing or empty")
	}
	var b strings.Builder
	for i, m := range messages {
		if m.Role == "" {
			return badRequest("messages[%d].role is missing", i)
		}
		text, ok := contentText(m.Content)
		if !ok {
			return badRequest("messages[%d].content must be a string or a list of text parts", i)
		}
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(text)
		b.WriteByte('\n')
		if m.Role == "user" {
			g.lastMessage = text
		}
	}
	g.prompt = b.String()
	return nil
}

// setPrompt sets a completion's prompt, which is a string or a list of one string.
func (g *generation) setPrompt(raw json.RawMessage) error {
	var s string
	if err := json.Unmarshal(raw, &s); err != nil {
		var list []string
		if err := json.Unmarshal(raw, &list); err != nil || len(list) != 1 {
			return badRequest("prompt must be a string, or a list with one string")
		}
		s = list[0]
	}
	g.prompt, g.lastMessage = s, s
	return nil
}

// contentText returns a message's text. The content is null in messages with tool calls.
func contentText(raw json.RawMessage) (string, bool) {
	if len(raw) == 0 || bytes.Equal(raw, []byte("null")) {
		return "", true
	}
	var s string
	if json.Unmarshal(raw, &s) == nil {
		return s, true
	}
	var parts []contentPart
	if json.Unmarshal(raw, &parts) != nil {
		return "", false
	}
	var b strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return "", false
		}
		b.WriteString(p.Text)
	}
	return b.String(), true
}

func badRequest(format string, args ...any) error {
	return request.Refuse(request.ReasonBadRequest, format, args...)
}
