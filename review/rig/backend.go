package main

import (
	"bufio"
	"cmp"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// backend is a backend server as the case that started it sees it: a process of its own and an
// entry in the store.
type backend struct {
	fleet                *fleet
	id, service, address string
	slots                int
	cmd                  *exec.Cmd
	orders               io.Writer // its standard input

	mu       sync.Mutex
	state    string // of the entry; empty: there is none
	sequence int
	reports  []report
}

// report is what a server says of a request on its standard output.
type report struct {
	Event   string // run, refused or end
	Request string
	Server  string
	Note    string
	At      time.Time
}

// startBackend starts a server with the given flags and registers it.
func (f *fleet) startBackend(id, service string, slots int, flags ...string) *backend {
	return f.startBackendAt(freeAddress(), id, service, slots, flags...)
}

// startBackendAt is startBackend at an address.
func (f *fleet) startBackendAt(address, id, service string, slots int, flags ...string) *backend {
	b := &backend{fleet: f, id: id, service: service, address: address, slots: slots, state: "ready"}
	self, err := os.Executable()
	if err != nil {
		panic(err)
	}
	b.cmd = exec.Command(self, append([]string{"server", "-id", id, "-address", b.address}, flags...)...)
	out, err := b.cmd.StdoutPipe()
	if err == nil {
		b.orders, err = b.cmd.StdinPipe()
	}
	if err == nil {
		err = b.cmd.Start()
	}
	if err != nil {
		panic(err)
	}
	listening := make(chan struct{})
	go b.read(bufio.NewScanner(out), listening)
	<-listening
	f.mu.Lock()
	f.backends = append(f.backends, b)
	phase := heartbeat * time.Duration(len(f.backends)%heartbeatPhases) / heartbeatPhases
	f.mu.Unlock()
	f.record("server %s of %s listens", id, service)
	b.put()
	go b.beat(phase)
	return b
}

func (b *backend) read(s *bufio.Scanner, listening chan struct{}) {
	for s.Scan() {
		if s.Text() == "listening" {
			close(listening)
			continue
		}
		var r report
		if json.Unmarshal(s.Bytes(), &r) != nil {
			continue
		}
		r.At = time.Now()
		b.mu.Lock()
		b.reports = append(b.reports, r)
		b.mu.Unlock()
		b.fleet.record("server %s: %s %s %s", r.Server, r.Event, r.Request, r.Note)
	}
}

// put writes the server's entry, with the next sequence number.
func (b *backend) put() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.state == "" {
		return
	}
	b.sequence++
	b.fleet.store.Put("servers", b.id, map[string]any{
		"service": b.service, "address": b.address, "zone": zone, "version": "v1", "slots": b.slots,
		"state": b.state, "cold_remaining_ms": 0, "sequence": b.sequence,
	})
}

// heartbeatPhases is the number of phases over which the servers' heartbeats are spread.
const heartbeatPhases = 12

// beat writes the entry at each heartbeat, from a phase on.
func (b *backend) beat(phase time.Duration) {
	time.Sleep(phase)
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			b.put()
		case <-b.fleet.beats.Done():
			return
		}
	}
}

// setState changes the state of the entry.
func (b *backend) setState(state string) {
	b.mu.Lock()
	b.state = state
	b.mu.Unlock()
	b.put()
	b.fleet.record("server %s is %s, acknowledged by the store", b.id, state)
}

// silence ends the heartbeats.
func (b *backend) silence() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state = ""
}

// order tells the process to change what it does.
func (b *backend) order(what string) {
	if _, err := fmt.Fprintln(b.orders, what); err != nil {
		panic(err)
	}
	b.fleet.record("server %s is told: %s", b.id, what)
}

// leave ends the process as a planned shutdown does, and removes the entry.
func (b *backend) leave() {
	_ = b.cmd.Process.Signal(syscall.SIGTERM)
	_ = b.cmd.Wait()
	b.mu.Lock()
	b.state = ""
	b.mu.Unlock()
	b.fleet.store.Remove("servers", b.id)
	b.fleet.record("server %s has exited, its entry is removed", b.id)
}

func (b *backend) kill() {
	if b.cmd.ProcessState == nil {
		_ = b.cmd.Process.Kill()
		_ = b.cmd.Wait()
	}
}

// all returns a copy of the reports.
func (b *backend) all() []report {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]report(nil), b.reports...)
}

// backendProcess is the server in its own process.
type backendProcess struct {
	id       string
	events   int
	interval time.Duration
	work     time.Duration
	unframed bool
	spoil    int // each how manieth stream is spoiled; 0: none
	spoilID  bool
	together int // events that are sent together
	streams  atomic.Int64
	poison   string // the body of requests that crash it; empty: none
	out      sync.Mutex
	leaving  atomic.Bool // its answers say so
	spoils   atomic.Bool // it spoils streams now
}

// The orders that a server's process takes on its standard input.
const (
	orderLeaving = "say that you leave"
	orderSpoil   = "spoil streams"
	orderSound   = "spoil nothing"
)

func (s *backendProcess) takeOrders() {
	for lines := bufio.NewScanner(os.Stdin); lines.Scan(); {
		switch lines.Text() {
		case orderLeaving:
			s.leaving.Store(true)
		case orderSpoil:
			s.spoils.Store(true)
		case orderSound:
			s.spoils.Store(false)
		}
	}
}

func serveBackend(args []string) {
	s := &backendProcess{}
	flags := flag.NewFlagSet("server", flag.ExitOnError)
	address := flags.String("address", "", "")
	flags.StringVar(&s.id, "id", "", "")
	flags.IntVar(&s.events, "events", 20, "events of a stream")
	flags.DurationVar(&s.interval, "interval", 50*time.Millisecond, "time between two events")
	flags.DurationVar(&s.work, "work", 0, "time that a run without events takes")
	flags.IntVar(&s.spoil, "spoil", 0, "when told to, spoil each so manieth stream by one more line end after its first event")
	flags.BoolVar(&s.spoilID, "spoil-id", false, "spoil the id of the fourth event instead")
	flags.IntVar(&s.together, "together", 1, "events that are sent together")
	flags.StringVar(&s.poison, "poison", "", "body of the requests that crash the server")
	flags.BoolVar(&s.unframed, "unframed", false, "answers have neither a length nor chunks")
	_ = flags.Parse(args)
	ln, err := net.Listen("tcp", *address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUnknown)
	}
	fmt.Println("listening")
	go s.takeOrders()
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

// noteKey is the note of a run whose request brought the caller's key.
const noteKey = "with the caller's key"

func (s *backendProcess) report(event, request, note string) {
	s.out.Lock()
	defer s.out.Unlock()
	_ = json.NewEncoder(os.Stdout).Encode(report{Event: event, Request: request, Server: s.id, Note: note})
}

func (s *backendProcess) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil || !s.answer(conn, req, string(body)) {
			return
		}
	}
}

// event returns the bytes of an event. In a spoiled stream they are wrong at one place: there
// is one more line end after the first event, or the fourth one has a wrong id.
func (s *backendProcess) event(n, from int, request, path string, spoiled bool) string {
	id, end := n, ""
	switch {
	case !spoiled:
	case s.spoilID && n == from+4:
		id = n + 40
		s.report("spoils", request, fmt.Sprintf("the id of event %d, it is %d", n, id))
	case !s.spoilID && n == from+1:
		end = "\n"
		s.report("spoils", request, fmt.Sprintf("one more line end after event %d", n))
	}
	return fmt.Sprintf("id: %d\ndata: event %d of %d of %s\n\n%s", id, n, s.events, path, end)
}

// answer answers a request, and reports whether the connection may serve another one.
func (s *backendProcess) answer(conn net.Conn, req *http.Request, body string) bool {
	id := req.Header.Get("X-Request-Id")
	plain := req.Header.Get("X-Token-Count") == ""
	expected := req.Header.Get("X-Expect-Instance")
	if expected == "" || expected == s.id {
		note := "after event " + cmp.Or(req.Header.Get("Last-Event-Id"), "0")
		if req.Header.Get("Authorization") != "" {
			note = noteKey
		}
		s.report("run", id, note)
		if s.poison != "" && body == s.poison {
			s.report("crash", id, "")
			os.Exit(exitBroken)
		}
		if plain {
			time.Sleep(s.work)
		}
	}
	head := "X-Request-Id: " + id + "\r\nX-Server-Stamp: stamp." + s.id + "\r\n"
	if s.leaving.Load() {
		head += "Server-Leaving: 1\r\n"
	}
	if expected != "" && expected != s.id {
		s.report("refused", id, "421")
		_, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n%sX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", head)
		return err == nil
	}
	if plain {
		body := "answer of " + s.id
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
		return err == nil
	}
	from, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	if s.unframed {
		head += "Connection: close\r\n"
	} else {
		head += "Transfer-Encoding: chunked\r\n"
	}
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\n\r\n", head); err != nil {
		return false
	}
	spoiled := s.spoils.Load() && s.streams.Add(1)%int64(s.spoil) == 0
	for n := from + 1; n <= s.events; n += s.together {
		last := min(n+s.together-1, s.events)
		events := ""
		for i := n; i <= last; i++ {
			events += s.event(i, from, id, req.URL.Path, spoiled)
		}
		if !s.unframed {
			events = fmt.Sprintf("%x\r\n%s\r\n", len(events), events)
		}
		if _, err := conn.Write([]byte(events)); err != nil {
			s.report("end", id, fmt.Sprintf("broken after event %d", n-1))
			return false
		}
		if last < s.events {
			time.Sleep(s.interval)
		}
	}
	s.report("end", id, "complete")
	if s.unframed {
		return false
	}
	_, err := conn.Write([]byte("0\r\n\r\n"))
	return err == nil
}
