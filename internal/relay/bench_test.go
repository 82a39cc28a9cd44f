package relay

import (
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"syscall"
	"testing"

	"github.com/lycheekeel/lycheekeel/internal/httpconn"
	"github.com/lycheekeel/lycheekeel/internal/metrics"
	"github.com/lycheekeel/lycheekeel/internal/peer"
	"github.com/lycheekeel/lycheekeel/member"
)

// answerBytes is the size of the answers of BenchmarkConnection.
const answerBytes = 1000

// startBenchServer starts a server that answers each connection's first bytes.
func startBenchServer(b *testing.B) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := c.Read(make([]byte, answerBytes)); err == nil {
					_, _ = c.Write(make([]byte, answerBytes))
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// startBenchRelays returns the relay of a daemon that reaches servers through a peer alone.
func startBenchRelays(b *testing.B, address string) *Relay {
	names := []string{"cut", "peer"}
	transports := map[string]*peer.TCP{}
	var cut *Relay
	for _, name := range names {
		t, err := peer.NewTCP(peer.Options{Name: peer.Name(name), Listen: "127.0.0.1:0", Keys: [][]byte{[]byte("0123456789abcdef")}})
		if err != nil {
			b.Fatal(err)
		}
		cfg := Config{Servers: func() map[string]string { return map[string]string{address: "s"} }, MaxRelayed: 1000, Metrics: metrics.New()}
		if name == "cut" {
			cfg.Direct = func(context.Context, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
		}
		r := New(cfg)
		view := &member.CurrentView{}
		view.Store(member.NewView(name, []member.Member{{Name: "cut"}, {Name: "peer"}}))
		r.Join(t, view)
		t.Start()
		b.Cleanup(t.Close)
		transports[name] = t
		if name == "cut" {
			cut = r
		}
	}
	transports["cut"].SetAddress("peer", transports["peer"].Addr().String())
	return cut
}

// BenchmarkConnection measures a connection with a short request and its answer: the time,
// and the processor time of caller, daemons and server together.
func BenchmarkConnection(b *testing.B) {
	address := startBenchServer(b)
	for name, dial := range map[string]httpconn.DialFunc{"direct": httpconn.DialTCP, "relayed": startBenchRelays(b, address).Dial} {
		b.Run(name, func(b *testing.B) {
			before := processorSeconds(b)
			for range b.N {
				c, err := dial(context.Background(), address)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := c.Write(make([]byte, answerBytes)); err != nil {
					b.Fatal(err)
				}
				if _, err := io.ReadFull(c, make([]byte, answerBytes)); err != nil {
					b.Fatal(err)
				}
				_ = c.Close()
			}
			b.ReportMetric((processorSeconds(b)-before)/float64(b.N)*1e6, "cpu-us/op")
		})
	}
}

// BenchmarkOpenConnections measures the heap of open relayed connections, both daemons and
// the server together.
func BenchmarkOpenConnections(b *testing.B) {
	address := startBenchServer(b)
	dial := startBenchRelays(b, address).Dial
	const open = 200
	for range b.N {
		before := heapBytes()
		var conns []net.Conn
		for i := range open {
			c, err := dial(context.Background(), address)
			if err != nil {
				b.Fatal(fmt.Sprint(i, ": ", err))
			}
			conns = append(conns, c)
		}
		b.ReportMetric(float64(heapBytes()-before)/open, "B/conn")
		for _, c := range conns {
			_ = c.Close()
		}
	}
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

func processorSeconds(b *testing.B) float64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return float64(u.Utime.Nano()+u.Stime.Nano()) / 1e9
}
