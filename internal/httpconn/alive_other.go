//go:build !unix

package httpconn

import "syscall"

// alive reports false: without a way to check, no connection is reused.
func alive(syscall.RawConn) bool { return false }
