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
// What goes wrong without it: a yamux stream learns of the session's end only after the
// connection has closed, and until then its Read and Write spin. One notices a daemon
// that takes a whole core without a system call while a connection closes.
type session struct {
	*yamux.Session

	mu      sync.Mutex
	streams map[*yamux.Stream]struct{}
	ended   bool
}

// newSession runs a session on conn; side is yamux.Client or yamux.Server.
func newSession(conn net.Conn, newMux func(io.ReadWriteCloser, *yamux.Config) (*yamux.Session, error)) (*session, error) {
	s := &session{streams: map[*yamux.Stream]struct{}{}}
	mux, err := newMux(&frameWriter{Conn: conn, onClose: s.expireStreams}, yamuxConfig())
	if err != nil {
		return nil, err
	}
	s.Session = mux
	return s, nil
}

// open opens a stream, which is to be closed by closeStream.
func (s *session) open() (*yamux.Stream, error) {
	stream, err := s.OpenStream()
	if err != nil {
		return nil, err
	}
	s.track(stream)
	return stream, nil
}

// accept waits for a stream of the peer, which is to be closed by closeStream.
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
	_ = stream.Close() // it fails where the session has ended, and with it the stream
}

func (s *session) track(stream *yamux.Stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams[stream] = struct{}{}
	if s.ended {
		expireStream(stream)
	}
}

// expireStreams is called when the session has begun to close.
func (s *session) expireStreams() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	for stream := range s.streams {
		expireStream(stream)
	}
}

// expireStream makes reads and writes that are under way, and all further ones, time out.
func expireStream(stream *yamux.Stream) { _ = stream.SetDeadline(time.Unix(1, 0)) }
