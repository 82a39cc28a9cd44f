package request

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies a request by its content, without its headers: where it goes
// and what it says. It includes the workspace, so that one workspace cannot make
// another's requests suspected. The content may come in pieces.
func Fingerprint(workspace, target string, content ...[]byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	writeLength(&d, len(workspace))
	_, _ = d.WriteString(workspace)
	writeLength(&d, len(target))
	_, _ = d.WriteString(target)
	size := 0
	for _, piece := range content {
		size += len(piece)
	}
	writeLength(&d, size)
	for _, piece := range content {
		_, _ = d.Write(piece)
	}
	return d.Sum64()
}

func writeLength(d *xxhash.Digest, n int) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(n))
	_, _ = d.Write(b[:])
}

// PartFingerprint identifies a part of prompts by the model that reads it and its id. The id
// is the caller's word, and other workspaces may use the same.
func PartFingerprint(model string, id uint64) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString("part")
	writeLength(&d, len(model))
	_, _ = d.WriteString(model)
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], id)
	_, _ = d.Write(b[:])
	return d.Sum64()
}
