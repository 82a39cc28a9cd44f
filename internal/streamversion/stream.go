package streamversion

import "github.com/cespare/xxhash/v2"

// Stream identifies a stream by the caller's attempt that brought its first event.
type Stream struct {
	Service string
	// Workspace is the caller's; another workspace's streams are never found.
	Workspace string
	// Request is the request id that the caller chose; empty: the caller did not name it.
	Request string
}

// key identifies a stream in records and messages. Of the caller's id, which may be long,
// nothing is kept.
type key uint64

func (s Stream) key() key {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{s.Service, s.Workspace, s.Request} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	return key(d.Sum64())
}
