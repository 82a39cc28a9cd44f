package engine

import (
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"

	port "github.com/lycheekeel/lycheekeel/engine"
)

// Prefixes of the last user message that select the answer.
const (
	// PrefixEcho is answered with the exact rest of the message, regardless of
	// MaxTokens, so that callers can verify the answer.
	PrefixEcho = "echo:"
	// PrefixGenerate followed by a number N is answered with N tokens of
	// filler text, but at most MaxTokens.
	PrefixGenerate = "gen:"
)

// Finish reasons of an answer.
const (
	finishStop   = "stop"
	finishLength = "length"
)

const (
	fillerWord = "word"
	// maxFillerTokens is the length of the longest filler answer.
	maxFillerTokens = 1 << 16
	// Without a prefix, an answer has from minAnswerTokens up to but excluding
	// minAnswerTokens+answerTokenSpan tokens. The prompt's hash selects the
	// length.
	minAnswerTokens, answerTokenSpan = 16, 240
)

// filler is the text from which generated answers are taken. Each token is one
// word of port.BytesPerToken bytes.
var filler = strings.Repeat(fillerWord, maxFillerTokens)

// answerFor returns the full text that a run will generate, its length in tokens
// and its finish reason.
func answerFor(r *port.Run) (text string, tokens int, finish string) {
	if rest, ok := strings.CutPrefix(r.LastMessage, PrefixEcho); ok {
		return rest, countTokens(rest), finishStop
	}
	want := min(answerTokens(r), maxFillerTokens)
	finish = finishStop
	if r.MaxTokens > 0 && want > r.MaxTokens {
		want, finish = r.MaxTokens, finishLength
	}
	return filler[:want*len(fillerWord)], want, finish
}

func answerTokens(r *port.Run) int {
	if rest, ok := strings.CutPrefix(r.LastMessage, PrefixGenerate); ok {
		digits := len(rest) - len(strings.TrimLeft(rest, "0123456789"))
		if n, err := strconv.Atoi(rest[:digits]); err == nil {
			return n
		}
	}
	return minAnswerTokens + int(xxhash.Sum64String(r.Prompt)%answerTokenSpan)
}

// tokenEnd returns the end of the token that starts at byte offset from. A token
// has about BytesPerToken bytes and never splits a character.
func tokenEnd(text string, from int) int {
	end := from + port.BytesPerToken
	if end >= len(text) {
		return len(text)
	}
	for end < len(text) && !utf8.RuneStart(text[end]) {
		end++
	}
	return end
}

func countTokens(text string) int {
	n := 0
	for at := 0; at < len(text); at = tokenEnd(text, at) {
		n++
	}
	return n
}

// advance returns the byte offset n tokens after byte offset at.
func advance(text string, at, n int) int {
	for ; n > 0 && at < len(text); n-- {
		at = tokenEnd(text, at)
	}
	return at
}
