// Package crowd plays clients that misbehave against a process under test, and measures what
// the process holds meanwhile.
package crowd

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/lycheekeel/lycheekeel/internal/wait"
)

const (
	// writeTimeout bounds what a member waits for a process that reads nothing.
	writeTimeout = 5 * time.Second
	// ReturnPause is the pause of a member whose connection was closed.
	ReturnPause = 20 * time.Millisecond
	// formedIntervals is for how many intervals of footprintInterval a crowd that stands adds
	// no descriptors.
	formedIntervals = 10
)

// Abuse is what a member of a crowd sends on a new connection. It must return when the
// connection is closed.
type Abuse func(conn net.Conn, member int) error

// Crowd is a number of clients that misbehave. Each keeps its connection open, and opens
// another one when that is closed.
type Crowd struct {
	Address string // of the process
	PID     int
	Size    int
	Abuse   Abuse
	// Unread is set if the members read no answers.
	Unread bool

	cancel  context.CancelFunc
	members conc.WaitGroup
	settled sync.WaitGroup // done when each member has sent all that the process took of it
}

// Start starts the crowd. It ends with the test at the latest.
func (c *Crowd) Start(t testing.TB) {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	t.Cleanup(c.Leave)
	c.settled.Add(c.Size)
	for i := range c.Size {
		c.members.Go(func() { c.run(ctx, i) })
	}
}

// Gather starts the crowd. It waits until all members have sent what they send, and the process
// opens no more descriptors for them.
func (c *Crowd) Gather(t testing.TB) {
	c.Start(t)
	c.settled.Wait()
	most := 0
	for quiet := 0; quiet < formedIntervals; quiet++ {
		if open := openDescriptors(c.PID); open > most {
			most, quiet = open, 0
		}
		wait.For(context.Background(), footprintInterval)
	}
}

// Leave closes all connections of the crowd.
func (c *Crowd) Leave() {
	c.cancel()
	c.members.Wait()
}

func (c *Crowd) run(ctx context.Context, member int) {
	settle := sync.OnceFunc(c.settled.Done)
	defer settle()
	for ctx.Err() == nil {
		if conn, err := net.DialTimeout("tcp", c.Address, writeTimeout); err == nil {
			c.stay(ctx, conn, member, settle)
		}
		settle()
		wait.For(ctx, ReturnPause)
	}
}

// stay sends on a connection, and keeps it until it is closed or ctx ends.
func (c *Crowd) stay(ctx context.Context, conn net.Conn, member int, settle func()) {
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	err := c.Abuse(conn, member)
	settle()
	if c.Unread && err == nil {
		<-ctx.Done()
		return
	}
	_, _ = io.Copy(io.Discard, conn)
}

// Send writes the parts one after the other.
func Send(conn net.Conn, parts ...string) error {
	for _, p := range parts {
		if _, err := io.WriteString(conn, p); err != nil {
			return err
		}
	}
	return nil
}
