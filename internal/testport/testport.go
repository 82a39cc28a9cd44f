// Package testport hands out loopback ports to tests whose processes listen at
// a port that is chosen before they start, and again after they were killed.
//
// A port that was free a moment ago may be taken when the process starts: by
// an outgoing connection, to which the system gives any port of its local
// range, or by another test program that chose the same one while the process
// was down. The process then ends with "address already in use", and its test
// fails without a fault of the product. So ports lie below the system's range
// (32768 and up on Linux), in blocks, and a test program takes a whole block:
// it listens at the block's first port as long as it lives, which no second
// program on the machine can do.
package testport

import (
	"fmt"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// Ports from first up to, but without, last are handed out, in blocks of
// blockSize: the largest test starts about a hundred processes with three
// ports each, and fifty blocks suffice for the test programs that run at once.
const (
	firstPort = 15000
	endPort   = 32000
	blockSize = 340
)

// Allocator hands out ports of the blocks that it holds, each port once. It is
// safe for concurrent use.
type Allocator struct {
	mu             sync.Mutex
	blockListeners []net.Listener
	nextPort       int // the next port to hand out
	blockEnd       int // the first port after the block
}

// Process is the test program's allocator.
var Process = &Allocator{}

// Address returns a loopback address, host and port, that nobody listens at
// and that no other allocator hands out while this one holds its blocks.
func (a *Allocator) Address() (string, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for {
		for a.nextPort < a.blockEnd {
			address := loopback(a.nextPort)
			a.nextPort++
			if ln, err := net.Listen("tcp", address); err == nil {
				return address, ln.Close()
			}
		}
		if err := a.reserveBlock(); err != nil {
			return "", err
		}
	}
}

// reserveBlock takes the first block that nobody holds.
func (a *Allocator) reserveBlock() error {
	for port := firstPort; port+blockSize <= endPort; port += blockSize {
		ln, err := net.Listen("tcp", loopback(port))
		if err != nil {
			continue
		}
		a.blockListeners = append(a.blockListeners, ln)
		a.nextPort, a.blockEnd = port+1, port+blockSize
		return nil
	}
	return errors.Errorf("no free block of ports from %d to %d", firstPort, endPort)
}

// Close gives the blocks back. A test program that ends does so, too.
func (a *Allocator) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, ln := range a.blockListeners {
		_ = ln.Close()
	}
	a.blockListeners, a.nextPort, a.blockEnd = nil, 0, 0
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
