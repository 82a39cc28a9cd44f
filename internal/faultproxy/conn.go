package faultproxy

import (
	"bytes"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	// readBufferBytes is the maximum size of a single read.
	readBufferBytes = 32 << 10
	// maxDelayedChunks is the maximum number of chunks that a delay can queue
	// in one direction. Further reads block.
	maxDelayedChunks = 256
)

// conn is one forwarded connection.
type conn struct {
	proxy          *Proxy
	client, server *net.TCPConn

	mu     sync.Mutex
	silent Direction
}

// chunk is a piece of data that is to be delivered at a given time. Nil bytes mark
// the end of the stream.
type chunk struct {
	bytes []byte
	due   time.Time
}

func (c *conn) makeSilent(d Direction) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent |= d
}

func (c *conn) isSilent(d Direction) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent&d != 0
}

func (c *conn) reset() {
	resetConn(c.client)
	resetConn(c.server)
}

// run forwards both directions until both have ended.
func (c *conn) run() {
	var g conc.WaitGroup
	g.Go(func() { c.copy(c.client, c.server, ToTarget) })
	g.Go(func() { c.copy(c.server, c.client, ToClient) })
	g.Wait()
	c.client.Close()
	c.server.Close()
}

// copy forwards one direction through a queue, so that a delay adds latency
// without reducing throughput.
func (c *conn) copy(from, to *net.TCPConn, d Direction) {
	queue := make(chan chunk, maxDelayedChunks)
	var g conc.WaitGroup
	g.Go(func() { c.deliver(queue, to, d) })
	buf := make([]byte, readBufferBytes)
	for {
		n, err := from.Read(buf)
		due := time.Now().Add(c.proxy.currentDelay())
		if n > 0 {
			queue <- chunk{bytes: bytes.Clone(buf[:n]), due: due}
		}
		if err != nil {
			queue <- chunk{due: due}
			break
		}
	}
	close(queue)
	g.Wait()
}

// deliver writes each chunk when it is due, or drops it if the direction is
// silent. It hides the end of a silent stream until the proxy closes.
func (c *conn) deliver(queue <-chan chunk, to *net.TCPConn, d Direction) {
	for k := range queue {
		c.waitUntil(k.due)
		c.proxy.waitWhileHeld()
		switch {
		case c.isSilent(d):
			if k.bytes == nil {
				<-c.proxy.done
			}
		case k.bytes == nil:
			_ = to.CloseWrite()
		default:
			_, _ = to.Write(k.bytes)
		}
	}
}

// waitUntil waits until the given time or until the proxy closes.
func (c *conn) waitUntil(until time.Time) {
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	select {
	case <-t.C:
	case <-c.proxy.done:
	}
}
