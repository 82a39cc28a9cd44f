package engine

// BlockTokens is how many tokens one prefix block holds. The entry hashes the
// prompt in blocks of this size (Run.Blocks) and engines keep and announce
// cached prefixes in the same unit; a different size on either side would
// make every prefix estimate wrong without any error.
const BlockTokens = 64

// BytesPerToken is the mean number of bytes of text in one token, for
// estimates made without a tokenizer.
const BytesPerToken = 4

// EstimateTokens returns the estimated number of tokens of a text, at least
// one for a text that is not empty.
func EstimateTokens(text string) int {
	return (len(text) + BytesPerToken - 1) / BytesPerToken
}
