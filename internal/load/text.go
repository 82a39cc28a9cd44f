package load

import (
	"math/rand/v2"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/lycheekeel/lycheekeel/engine"
)

// letters make the words of generated texts. A word and its space are one
// token of engine.BytesPerToken bytes.
const letters = "abcdefghijklmnopqrstuvwxyz"

// What begins a last user message that a stand-in engine answers with the rest
// of it, word for word, or with a number of tokens.
const (
	echoMark     = "echo:"
	generateMark = "gen:"
)

// Texts returns the request's system message (its shared prefix and its own
// part), its user message and the answer to expect; the answer is empty where
// the request asks for no echo.
func (a *Arrival) Texts() (system, user, answer string) {
	rng := rand.New(rand.NewPCG(a.seed, uint64(a.OutputTokens)))
	if a.Echo {
		mark := a.mark()
		answer = strings.TrimRight(mark+words(rng, a.OutputTokens-engine.EstimateTokens(mark)), " ")
		user = echoMark + answer
	} else {
		user = generateMark + strconv.Itoa(a.OutputTokens) + " " + a.mark()
	}
	prefix := a.prefixText()
	own := a.PromptTokens - engine.EstimateTokens(prefix) - engine.EstimateTokens(user)
	return prefix + a.Class.Text + words(rng, own), user, answer
}

// mark begins each answer, so that an answer to another request shows.
func (a *Arrival) mark() string { return "<" + a.Class.Name + "-" + hex(a.seed) + "> " }

// prefixText returns the shared beginning of the prompt.
func (a *Arrival) prefixText() string {
	if a.Prefix < 0 {
		return ""
	}
	name := a.Class.Prefix.Name
	if name == "" {
		name = a.Class.Name
	}
	rng := rand.New(rand.NewPCG(a.runSeed^uint64(a.Prefix), xxhash.Sum64String(name)))
	return words(rng, a.Class.Prefix.Tokens)
}

// words returns n words, or none where n is not positive.
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

// Prompt returns the tokens of the whole prompt as it is sent: at least the
// shared prefix and the user message.
func (a *Arrival) Prompt() int {
	least := 0
	if a.Echo {
		least = a.OutputTokens + engine.EstimateTokens(echoMark)
	}
	if a.Prefix >= 0 {
		least += a.Class.Prefix.Tokens
	}
	return max(least, a.PromptTokens)
}
