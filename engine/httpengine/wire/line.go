package wire

import (
	"encoding/json"
	"strconv"
	"unicode/utf8"

	"github.com/pkg/errors"
)

// Line is one line of an answer stream.
type Line struct {
	// RequestID aliases the parsed buffer and is valid until the next read.
	RequestID       []byte
	Keepalive       bool
	Offset          int
	Tokens          int
	Text            string
	End             bool
	FinishReason    string
	PromptTokens    int
	PrefillComputed int
	// Error is set if the engine reports that the run failed.
	Error string
}

// errUnsupported: fastParser does not support the line; encoding/json parses it instead.
var errUnsupported = errors.New("line not supported by the fast parser")

// lineJSON is Line in the form for encoding/json.
type lineJSON struct {
	RequestID       string `json:"request_id"`
	Keepalive       bool   `json:"keepalive"`
	Offset          int    `json:"offset"`
	Tokens          int    `json:"tokens"`
	Text            string `json:"text"`
	End             bool   `json:"end"`
	FinishReason    string `json:"finish_reason"`
	PromptTokens    int    `json:"prompt_tokens"`
	PrefillComputed int    `json:"prefill_computed"`
	Error           string `json:"error"`
}

// AppendLine appends the encoded line and a newline to b.
func AppendLine(b []byte, l *Line) []byte {
	b = append(b, `{"request_id":`...)
	b = appendString(b, string(l.RequestID))
	if l.Keepalive {
		return append(b, ",\"keepalive\":true}\n"...)
	}
	if l.Error != "" {
		b = append(b, `,"error":`...)
		b = appendString(b, l.Error)
		return append(b, "}\n"...)
	}
	b = append(b, `,"offset":`...)
	b = strconv.AppendInt(b, int64(l.Offset), 10)
	b = append(b, `,"tokens":`...)
	b = strconv.AppendInt(b, int64(l.Tokens), 10)
	b = append(b, `,"text":`...)
	b = appendString(b, l.Text)
	if l.End {
		b = append(b, `,"end":true,"finish_reason":`...)
		b = appendString(b, l.FinishReason)
		b = append(b, `,"prompt_tokens":`...)
		b = strconv.AppendInt(b, int64(l.PromptTokens), 10)
		b = append(b, `,"prefill_computed":`...)
		b = strconv.AppendInt(b, int64(l.PrefillComputed), 10)
	}
	return append(b, "}\n"...)
}

// appendString appends s as a JSON string. Text without escapes bypasses encoding/json.
func appendString(b []byte, s string) []byte {
	for i := 0; i < len(s); i++ {
		if c := s[i]; c < ' ' || c == '"' || c == '\\' || c >= utf8.RuneSelf {
			q, _ := json.Marshal(s) // encoding a string cannot fail
			return append(b, q...)
		}
	}
	b = append(b, '"')
	b = append(b, s...)
	return append(b, '"')
}

// ParseLine parses one line into l, replacing its contents. Lines as AppendLine writes them
// take one allocation, for the text; others are parsed by encoding/json.
func ParseLine(data []byte, l *Line) error {
	*l = Line{}
	p := fastParser{data: data}
	if p.parse(l) == nil {
		return nil
	}
	var j lineJSON
	if err := json.Unmarshal(data, &j); err != nil {
		return errors.Wrap(err, "parse answer line")
	}
	*l = Line{
		RequestID: []byte(j.RequestID), Keepalive: j.Keepalive, Offset: j.Offset, Tokens: j.Tokens,
		Text: j.Text, End: j.End, FinishReason: j.FinishReason, PromptTokens: j.PromptTokens,
		PrefillComputed: j.PrefillComputed, Error: j.Error,
	}
	return nil
}

// fastParser parses a flat JSON object without white space, as AppendLine writes it. It
// returns errUnsupported for anything else.
type fastParser struct {
	data []byte
	pos  int
}

func (p *fastParser) parse(l *Line) error {
	if !p.consume('{') {
		return errUnsupported
	}
	for {
		key, err := p.rawString()
		if err != nil {
			return err
		}
		if !p.consume(':') {
			return errUnsupported
		}
		if err := p.parseMember(string(key), l); err != nil {
			return err
		}
		if p.consume(',') {
			continue
		}
		if p.consume('}') && p.atEnd() {
			return nil
		}
		return errUnsupported
	}
}

func (p *fastParser) parseMember(key string, l *Line) (err error) {
	switch key {
	case "request_id":
		l.RequestID, err = p.rawString()
	case "text":
		l.Text, err = p.utf8String()
	case "finish_reason":
		l.FinishReason, err = p.utf8String()
	case "error":
		l.Error, err = p.utf8String()
	case "offset":
		l.Offset, err = p.integer()
	case "tokens":
		l.Tokens, err = p.integer()
	case "prompt_tokens":
		l.PromptTokens, err = p.integer()
	case "prefill_computed":
		l.PrefillComputed, err = p.integer()
	case "end":
		l.End, err = p.boolean()
	case "keepalive":
		l.Keepalive, err = p.boolean()
	default:
		err = errUnsupported
	}
	return err
}

func (p *fastParser) consume(c byte) bool {
	if p.pos < len(p.data) && p.data[p.pos] == c {
		p.pos++
		return true
	}
	return false
}

func (p *fastParser) atEnd() bool { return p.pos == len(p.data) }

// rawString returns a string without escapes. The result aliases the data.
func (p *fastParser) rawString() ([]byte, error) {
	if !p.consume('"') {
		return nil, errUnsupported
	}
	start := p.pos
	for ; p.pos < len(p.data); p.pos++ {
		switch c := p.data[p.pos]; {
		case c == '"':
			s := p.data[start:p.pos]
			p.pos++
			return s, nil
		case c == '\\' || c < ' ':
			return nil, errUnsupported
		}
	}
	return nil, errUnsupported
}

func (p *fastParser) utf8String() (string, error) {
	s, err := p.rawString()
	if err != nil || !utf8.Valid(s) {
		return "", errUnsupported
	}
	return string(s), nil
}

// maxDigits keeps a number within the range of int.
const maxDigits = 18

func (p *fastParser) integer() (int, error) {
	start, n := p.pos, 0
	for p.pos < len(p.data) && p.data[p.pos] >= '0' && p.data[p.pos] <= '9' {
		n = n*10 + int(p.data[p.pos]-'0')
		p.pos++
	}
	leadingZero := p.pos-start > 1 && p.data[start] == '0'
	if p.pos == start || p.pos-start > maxDigits || leadingZero {
		return 0, errUnsupported
	}
	return n, nil
}

func (p *fastParser) boolean() (bool, error) {
	rest := p.data[p.pos:]
	if len(rest) >= 4 && string(rest[:4]) == "true" {
		p.pos += 4
		return true, nil
	}
	return false, errUnsupported
}
