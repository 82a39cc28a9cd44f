package engine

// BlockTokens is the number of tokens in one prefix block. The entry hashes prompts in
// blocks of this size (Run.Blocks), and engines cache and report prefixes in the same
// unit. If the two sizes differed, prefix estimates would be wrong without any error.
const BlockTokens = 64

// BytesPerToken is the mean length of a token's text, in bytes. It is used for estimates
// without a tokenizer.
const BytesPerToken = 4

// EstimateTokens returns the estimated number of tokens in a text, at least one unless it
// is empty.
func EstimateTokens(text string) int {
	return (len(text) + BytesPerToken - 1) / BytesPerToken
}
