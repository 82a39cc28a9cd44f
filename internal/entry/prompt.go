package entry

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/lycheekeel/lycheekeel/engine"
)

// blockBytes is the length of one prefix block, in bytes of text.
const blockBytes = engine.BlockTokens * engine.BytesPerToken

// maxBlocks bounds the number of block hashes sent with a request. A common prefix of
// this length is more than enough to choose a server by.
const maxBlocks = 1024

// blockHashes returns the chained hashes of the prompt's complete blocks. Each hash
// covers the model version and all preceding text, so equal hashes mean an equal prefix
// for the same model version.
func blockHashes(version, prompt string) []uint64 {
	n := min(len(prompt)/blockBytes, maxBlocks)
	if n == 0 {
		return nil
	}
	out := make([]uint64, n)
	prev := xxhash.Sum64String(version)
	var d xxhash.Digest
	for i := range out {
		d.Reset()
		writeUint64(&d, prev)
		_, _ = d.WriteString(prompt[i*blockBytes : (i+1)*blockBytes])
		prev = d.Sum64()
		out[i] = prev
	}
	return out
}

func writeUint64(d *xxhash.Digest, v uint64) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], v)
	_, _ = d.Write(b[:])
}
