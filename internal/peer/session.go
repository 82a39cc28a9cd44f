package peer

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

// session is a yamux session that ends the reads and writes of its streams before it
// closes its connection.
//
// Without it, a yamux stream learns of the session's end only after the connection has
// closed, and its Read and Write spin until then. While a connection closes, the daemon
// would use a whole core without a system call.
type session struct {
	*yamux.Session

	mu      sync.Mutex
	streams map[*yamux.Stream]struct{}
	ended   bool
}

// newSession starts a session on conn. newMux is yamux.Client or yamux.Server.
func newSession(conn net.Conn, newMux func(io.ReadWriteCloser, *yamux.Config) (*yamux.Session, error)) (*session, error) {
	s := &session{streams: map[*yamux.Stream]struct{}{}}
	mux, err := newMux(&frameWriter{Conn: conn, onClose: s.expireStreams}, yamuxConfig())
	if err != nil {
		return nil, err
	}
	s.Session = mux
	return s, nil
}

// open opens a stream. The caller closes it with closeStream.
func (s *session) open() (*yamux.Stream, error) {
	stream, err := s.OpenStream()
	if err != nil {
		return nil, err
	}
	s.track(stream)
	return stream, nil
}

// accept waits for a stream of the peer. The caller closes it with closeStream.
func (s *session) accept() (*yamux.Stream, error) {
	stream, err := s.AcceptStream()
	if err != nil {
		return nil, err
	}
	s.track(stream)
	return stream, nil
}

func (s *session) closeStream(stream *yamux.Stream) {
	s.mu.Lock()
	delete(s.streams, stream)
	s.mu.Unlock()
	_ = stream.Close() // fails only if the session, and with it the stream, has ended
}

func (s *session) track(stream *yamux.Stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams[stream] = struct{}{}
	if s.ended {
		expireStream(stream)
	}
}

// expireStreams is called when the session begins to close.
func (s *session) expireStreams() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	for stream := range s.streams {
		expireStream(stream)
	}
}

// hasEnded reports whether the session has begun to close.
func (s *session) hasEnded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended
}

// expireStream makes all current and later reads and writes of a stream time out.
func expireStream(stream *yamux.Stream) { _ = stream.SetDeadline(time.Unix(1, 0)) }
