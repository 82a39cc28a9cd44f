//go:build unix

package httpconn

import "syscall"

// alive peeks at an idle connection without waiting. An idle connection has
// nothing to read: an end of file means that the peer closed it, and any byte
// that the peer is out of step.
//
// What goes wrong without it: the peer closes an idle connection, the next
// request is written to it and lost, and nobody can say whether it ran. One
// would notice unknown outcomes in a quiet system. The check costs one system
// call and leaves only the moment between it and the write.
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
