package peer

import (
	"context"
	"testing"

	"github.com/lycheekeel/lycheekeel/internal/metrics"
)

// benchPair starts two transports; the second one acknowledges probes.
func benchPair(b *testing.B) (*TCP, *TCP, chan struct{}) {
	acks := make(chan struct{}, maxQueuedMessages)
	newTransport := func(name Name) *TCP {
		t, err := NewTCP(Options{Name: name, Listen: "127.0.0.1:0", Keys: [][]byte{testKey}, Registry: metrics.New()})
		if err != nil {
			b.Fatal(err)
		}
		return t
	}
	a, c := newTransport("a"), newTransport("c")
	c.Handle(TypeMemberProbe, func(_ context.Context, from Name, p []byte) ([]byte, error) {
		return nil, c.Send(from, TypeMemberAck, p)
	})
	a.Handle(TypeMemberAck, func(context.Context, Name, []byte) ([]byte, error) {
		acks <- struct{}{}
		return nil, nil
	})
	a.SetAddress("c", c.Addr().String())
	a.Start()
	c.Start()
	b.Cleanup(a.Close)
	b.Cleanup(c.Close)
	return a, c, acks
}

// wireBytes returns the bytes that a transport sent and received, including
// encryption and framing, without TCP and IP headers.
func wireBytes(t *TCP) int64 { return t.count.wireBytesIn.Value() + t.count.wireBytesOut.Value() }

// BenchmarkProbe sends one small message at a time and waits for its answer.
func BenchmarkProbe(b *testing.B) {
	a, _, acks := benchPair(b)
	payload := make([]byte, 20)
	probe := func() {
		if err := a.Send("c", TypeMemberProbe, payload); err != nil {
			b.Fatal(err)
		}
		<-acks
	}
	probe()
	before := wireBytes(a)
	b.ReportAllocs()
	for b.Loop() {
		probe()
	}
	b.ReportMetric(float64(wireBytes(a)-before)/float64(b.N), "wire-B/op")
}

// BenchmarkDial covers the life of a connection: dial, authentication, one message
// and its answer, close.
func BenchmarkDial(b *testing.B) {
	a, _, acks := benchPair(b)
	b.ReportAllocs()
	for b.Loop() {
		if err := a.Send("c", TypeMemberProbe, nil); err != nil {
			b.Fatal(err)
		}
		<-acks
		a.mu.Lock()
		l := a.peers["c"].current
		a.mu.Unlock()
		a.closeLink(l, closedSilent) // closedSilent allows the next dial without backoff
	}
	b.ReportMetric(float64(wireBytes(a))/float64(b.N), "wire-B/op")
}
