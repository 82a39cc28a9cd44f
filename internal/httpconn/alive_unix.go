//go:build unix

package httpconn

import "syscall"

// alive peeks at an idle connection without blocking. An idle connection must have
// nothing to read: end of file means that the peer closed it, and a byte means that the
// peer is out of step with the exchanges.
//
// Without it, the next request may be written to a connection that the peer has closed.
// It is lost, and nobody can tell whether it ran; the symptom is unknown outcomes in an
// idle system. The check costs one system call and leaves only the interval between the
// check and the write.
func alive(raw syscall.RawConn) bool {
	if raw == nil {
		return false
	}
	var peekErr error
	var b [1]byte
	err := raw.Control(func(fd uintptr) {
		_, _, peekErr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && (peekErr == syscall.EAGAIN || peekErr == syscall.EWOULDBLOCK)
}
