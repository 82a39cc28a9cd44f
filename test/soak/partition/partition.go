// Package partition partitions a process from the backend servers or daemons that it dials,
// as a switch in a file says.
package partition

import (
	"context"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Mode is what becomes of the connections.
type Mode string

// The modes.
const (
	None      Mode = ""
	Reset     Mode = "reset"      // open connections are reset, new ones refused
	Hang      Mode = "hang"       // open connections go silent for good, new ones hang
	RefuseNew Mode = "refuse-new" // open connections live on, new ones are refused
)

// pollInterval is the time between two looks at the switch.
const pollInterval = 10 * time.Millisecond

// Dialer dials servers unless its switch is set. It is safe for concurrent use.
type Dialer struct {
	file string

	mu        sync.Mutex
	mode      Mode
	addresses []string // to which the mode applies; none: all
	open      map[*conn]struct{}
}

// NewDialer returns a dialer whose switch is the content of a file: a Mode and the addresses to
// which it applies, none for all. A file that doesn't exist means None.
func NewDialer(file string) *Dialer {
	d := &Dialer{file: file, open: map[*conn]struct{}{}}
	go d.watch()
	return d
}

// Set writes the switch of the dialers of a file. Without addresses it applies to all.
func Set(file string, m Mode, addresses ...string) error {
	next, content := file+".next", strings.Join(append([]string{string(m)}, addresses...), " ")
	if err := os.WriteFile(next, []byte(content), 0o600); err != nil {
		return err
	}
	return os.Rename(next, file)
}

func (d *Dialer) watch() {
	for range time.Tick(pollInterval) {
		b, err := os.ReadFile(d.file)
		if err != nil {
			continue
		}
		fields := append(strings.Fields(string(b)), "")
		d.apply(Mode(fields[0]), fields[1:max(1, len(fields)-1)])
	}
}

// apply sets the mode and breaks the open connections if the mode says so.
func (d *Dialer) apply(m Mode, addresses []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if m == d.mode {
		return
	}
	d.mode, d.addresses = m, addresses
	for c := range d.open {
		d.breakLocked(c)
	}
}

// breakLocked breaks a connection if the mode says so; the mutex is held.
func (d *Dialer) breakLocked(c *conn) {
	switch d.modeOf(c.address) {
	case Reset:
		_ = c.SetLinger(0)
		_ = c.TCPConn.Close()
	case Hang:
		c.silence()
	}
}

// modeOf returns the mode of connections to an address; the mutex is held.
func (d *Dialer) modeOf(address string) Mode {
	if len(d.addresses) > 0 && !slices.Contains(d.addresses, address) {
		return None
	}
	return d.mode
}

// Dial opens a connection. It is an httpconn.DialFunc and a peer.DialFunc.
func (d *Dialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	if err := d.block(ctx, address); err != nil {
		return nil, err
	}
	var direct net.Dialer
	nc, err := direct.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := &conn{TCPConn: nc.(*net.TCPConn), dialer: d, address: address}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.open[c] = struct{}{}
	d.breakLocked(c) // the switch may have been set during the dial
	return c, nil
}

// block returns the error of a dial during the partition.
func (d *Dialer) block(ctx context.Context, address string) error {
	d.mu.Lock()
	m := d.modeOf(address)
	d.mu.Unlock()
	switch m {
	case None:
		return nil
	case Hang:
		<-ctx.Done()
		return ctx.Err()
	default:
		return &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
}

// conn is a connection that can become silent for good.
type conn struct {
	*net.TCPConn
	dialer  *Dialer
	address string

	mu     sync.Mutex
	silent bool
}

func (c *conn) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = true
}

func (c *conn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

// Read implements net.Conn. What a silent connection brings is dropped.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.TCPConn.Read(b)
		if err != nil || !c.isSilent() {
			return n, err
		}
	}
}

// Write implements net.Conn. What is written to a silent connection is dropped.
func (c *conn) Write(b []byte) (int, error) {
	if c.isSilent() {
		return len(b), nil
	}
	return c.TCPConn.Write(b)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.dialer.mu.Lock()
	delete(c.dialer.open, c)
	c.dialer.mu.Unlock()
	return c.TCPConn.Close()
}
