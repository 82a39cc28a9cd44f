package engine

import (
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"

	port "github.com/lycheekeel/lycheekeel/engine"
)

// Prefixes of a last user message that ask for a certain answer.
const (
	// PrefixEcho is answered with the rest of the message, word for word and
	// whole, whatever MaxTokens says: anyone can check an answer by it.
	PrefixEcho = "echo:"
	// PrefixGenerate and a number N are answered with N tokens of filler, as
	// far as MaxTokens allows.
	PrefixGenerate = "gen:"
)

// Reasons why an answer ended.
const (
	finishStop   = "stop"
	finishLength = "length"
)

const (
	fillerWord = "word"
	// maxFillerTokens bounds the longest filler answer.
	maxFillerTokens = 1 << 16
	// Without a hint an answer has between minAnswerTokens and minAnswerTokens+answerTokenSpan
	// tokens, by the prompt's hash.
	minAnswerTokens, answerTokenSpan = 16, 240
)

// filler is the text of every generated answer; each token is one word of
// port.BytesPerToken bytes.
var filler = strings.Repeat(fillerWord, maxFillerTokens)

// answerFor returns the whole text that a run will generate, its tokens and
// why it ends.
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

// tokenEnd returns where the token that begins at from ends: after about
// BytesPerToken bytes, never inside a character.
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

// advance returns where the text stands after n more tokens from at.
func advance(text string, at, n int) int {
	for ; n > 0 && at < len(text); n-- {
		at = tokenEnd(text, at)
	}
	return at
}
