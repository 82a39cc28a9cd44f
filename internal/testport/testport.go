// Package testport allocates loopback ports for tests whose processes listen at a
// port that is chosen before they start, and listen at it again after a restart.
//
// A port that was free when it was chosen can be in use when the process starts:
// by an outgoing connection, which gets a port of the system's ephemeral range, or
// by another test program that chose the same port while the process was down. The
// process then fails with "address already in use", and the test fails although
// the product has no fault. Therefore ports are allocated below the ephemeral range
// (32768 and up on Linux) and in blocks. A test program reserves a block by
// listening at its first port until it exits, which only one program on a machine
// can do.
package testport

import (
	"fmt"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// Blocks of blockSize ports lie in the range from firstPort up to but excluding
// endPort. The largest test starts about a hundred processes with three ports each,
// and about fifty blocks suffice for the test programs that run concurrently.
const (
	firstPort = 15000
	endPort   = 32000
	blockSize = 340
)

// Allocator allocates ports from the blocks that it has reserved, each port once.
// The zero value is ready to use. It is safe for concurrent use.
type Allocator struct {
	mu             sync.Mutex
	blockListeners []net.Listener
	nextPort       int // the next port to allocate
	blockEnd       int // the first port after the block
}

// Process is the allocator of the test program.
var Process = &Allocator{}

// Address returns a loopback address, as IP:port, that is not in use and that no
// other allocator returns until this one is closed.
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

// reserveBlock reserves the first block that no other allocator holds.
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

// Close releases the reserved blocks. The exit of the test program releases them
// as well.
func (a *Allocator) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, ln := range a.blockListeners {
		_ = ln.Close()
	}
	a.blockListeners, a.nextPort, a.blockEnd = nil, 0, 0
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
