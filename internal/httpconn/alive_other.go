//go:build !unix

package httpconn

import "syscall"

// alive returns false: this platform has no check, so no connection is reused.
func alive(syscall.RawConn) bool { return false }
