package load

import (
	"math/rand/v2"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/lycheekeel/lycheekeel/engine"
)

// letters are the letters of generated words. A word with its space is one token of
// engine.BytesPerToken bytes.
const letters = "abcdefghijklmnopqrstuvwxyz"

// Prefixes of a last user message that tell a stand-in engine to echo the rest or to
// generate a number of tokens.
const (
	echoPrefix     = "echo:"
	generatePrefix = "gen:"
)

// Texts returns the request's system message (shared prefix and own part), its user
// message and the expected answer, which is empty if the request asks for no echo.
func (a *Arrival) Texts() (system, user, answer string) {
	rng := rand.New(rand.NewPCG(a.textSeed, uint64(a.OutputTokens)))
	if a.Echo {
		marker := a.answerMarker()
		answer = strings.TrimRight(marker+words(rng, a.OutputTokens-engine.EstimateTokens(marker)), " ")
		user = echoPrefix + answer
	} else {
		user = generatePrefix + strconv.Itoa(a.OutputTokens) + " " + a.answerMarker()
	}
	prefix := a.prefixText()
	ownTokens := a.PromptTokens - engine.EstimateTokens(prefix) - engine.EstimateTokens(user)
	return prefix + a.Class.FaultText + words(rng, ownTokens), user, answer
}

// answerMarker begins each answer and identifies its request, so that a misrouted
// answer is detected.
func (a *Arrival) answerMarker() string { return "<" + a.Class.Name + "-" + hex(a.textSeed) + "> " }

// prefixText returns the shared prefix of the prompt.
func (a *Arrival) prefixText() string {
	if a.Prefix < 0 {
		return ""
	}
	name := a.Class.Prefix.Name
	if name == "" {
		name = a.Class.Name
	}
	rng := rand.New(rand.NewPCG(a.prefixSeed^uint64(a.Prefix), xxhash.Sum64String(name)))
	return words(rng, a.Class.Prefix.Tokens)
}

// words returns n random words, or none if n is not positive.
func words(rng *rand.Rand, n int) string {
	if n <= 0 {
		return ""
	}
	var b strings.Builder
	b.Grow(n * engine.BytesPerToken)
	for range n {
		r := rng.Uint32()
		for range engine.BytesPerToken - 1 {
			b.WriteByte(letters[r%uint32(len(letters))])
			r /= uint32(len(letters))
		}
		b.WriteByte(' ')
	}
	return b.String()
}

func hex(v uint64) string { return strconv.FormatUint(v, 16) }

// SentPromptTokens returns the tokens of the prompt as sent, which is at least the
// shared prefix and the user message.
func (a *Arrival) SentPromptTokens() int {
	minimum := 0
	if a.Echo {
		minimum = a.OutputTokens + engine.EstimateTokens(echoPrefix)
	}
	if a.Prefix >= 0 {
		minimum += a.Class.Prefix.Tokens
	}
	return max(minimum, a.PromptTokens)
}
