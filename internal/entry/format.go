package entry

import (
	"encoding/json"
	"time"

	"github.com/lycheekeel/lycheekeel/request"
)

// usage is the token count in OpenAI's format.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// generationResponse is a response or a stream chunk of either API.
type generationResponse struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// choice is the only choice of an answer. Message and Delta belong to chats, Text to
// completions.
type choice struct {
	Index        int          `json:"index"`
	Message      *chatMessage `json:"message,omitempty"`
	Delta        *chatDelta   `json:"delta,omitempty"`
	Text         *string      `json:"text,omitempty"`
	Logprobs     *struct{}    `json:"logprobs"`
	FinishReason *string      `json:"finish_reason"`
}

type chatMessage struct {
	Role    string  `json:"role"`
	Content string  `json:"content"`
	Refusal *string `json:"refusal"`
}

type chatDelta struct {
	Role    string  `json:"role,omitempty"`
	Content *string `json:"content,omitempty"`
}

// Object types and roles of the OpenAI API.
const (
	objectChat      = "chat.completion"
	objectChatChunk = "chat.completion.chunk"
	objectText      = "text_completion"
	roleAssistant   = "assistant"
	idPrefixChat    = "chatcmpl-"
	idPrefixText    = "cmpl-"
)

// Fixed parts of an event stream.
const (
	sseData      = "data: "
	sseEnd       = "\n\n"
	sseDone      = "data: [DONE]\n\n"
	sseKeepalive = ": keepalive\n\n"
)

// formatter encodes the answer of one request. It does not reference the prompt, which
// would otherwise stay in memory while the answer is streamed.
type formatter struct {
	api          api
	model        string
	includeUsage bool
	id           string
	created      int64
}

func newFormat(g *generation, id request.ID, received time.Time) *formatter {
	prefix := idPrefixChat
	if g.api == apiCompletions {
		prefix = idPrefixText
	}
	return &formatter{
		api: g.api, model: g.model, includeUsage: g.includeUsage, id: prefix + string(id), created: received.Unix(),
	}
}

// response returns a complete answer.
func (f *formatter) response(text, finish string, u usage) *generationResponse {
	c := choice{FinishReason: &finish}
	object := objectText
	if f.api == apiChat {
		object = objectChat
		c.Message = &chatMessage{Role: roleAssistant, Content: text}
	} else {
		c.Text = &text
	}
	return &generationResponse{ID: f.id, Object: object, Created: f.created, Model: f.model, Choices: []choice{c}, Usage: &u}
}

// appendStart appends the first event of a stream.
func (f *formatter) appendStart(b []byte) []byte {
	if f.api != apiChat {
		return b
	}
	empty := ""
	return f.appendChoice(b, choice{Delta: &chatDelta{Role: roleAssistant, Content: &empty}})
}

// appendText appends an event with a part of the answer's text.
func (f *formatter) appendText(b []byte, text string) []byte {
	if text == "" {
		return b
	}
	if f.api == apiChat {
		return f.appendChoice(b, choice{Delta: &chatDelta{Content: &text}})
	}
	return f.appendChoice(b, choice{Text: &text})
}

// appendFinish appends the end of a complete stream: the finish reason, the usage if
// it was requested, and the end marker.
func (f *formatter) appendFinish(b []byte, finish string, u usage) []byte {
	c := choice{FinishReason: &finish}
	if f.api == apiChat {
		c.Delta = &chatDelta{}
	} else {
		empty := ""
		c.Text = &empty
	}
	b = f.appendChoice(b, c)
	if f.includeUsage {
		b = f.appendEvent(b, []choice{}, &u)
	}
	return append(b, sseDone...)
}

// appendError appends a refusal to a stream that has already started.
func appendError(b []byte, r *request.Refusal) []byte {
	b = append(b, sseData...)
	b = append(b, refusalJSON(r)...)
	return append(b, sseEnd...)
}

func (f *formatter) appendChoice(b []byte, c choice) []byte {
	return f.appendEvent(b, []choice{c}, nil)
}

func (f *formatter) appendEvent(b []byte, choices []choice, u *usage) []byte {
	object := objectText
	if f.api == apiChat {
		object = objectChatChunk
	}
	event, err := json.Marshal(generationResponse{
		ID: f.id, Object: object, Created: f.created, Model: f.model, Choices: choices, Usage: u,
	})
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	b = append(b, sseData...)
	b = append(b, event...)
	return append(b, sseEnd...)
}
