package capacity

import (
	"context"

	"github.com/pkg/errors"

	"github.com/lycheekeel/lycheekeel/internal/metrics"
	"github.com/lycheekeel/lycheekeel/internal/peer"
)

// Names of the transport series.
const (
	seriesWireBytes = "peer_wire_bytes_by_payload"
	seriesWireCPU   = "peer_message_cpu_seconds_by_payload"
	seriesPeerHeap  = "peer_heap_by_connections"
)

// Parameters of the transport measurement.
const (
	wireMessages = 5000
	clusterKey   = "a cluster key for measuring"
	peerMetrics  = "peer"
)

// peerPair is two transports over loopback; b acknowledges each message.
type peerPair struct {
	a, b    *peer.TCP
	metrics *metrics.Registry // of a
	acks    chan struct{}
}

func newPeer(name peer.Name, m *metrics.Registry) (*peer.TCP, error) {
	return peer.NewTCP(peer.Options{Name: name, Listen: "127.0.0.1:0", Keys: [][]byte{[]byte(clusterKey)}, Registry: m})
}

func newPeerPair() (*peerPair, error) {
	p := &peerPair{metrics: metrics.New(), acks: make(chan struct{}, 1)}
	var err error
	if p.a, err = newPeer("a", p.metrics); err != nil {
		return nil, err
	}
	if p.b, err = newPeer("b", metrics.New()); err != nil {
		return nil, err
	}
	p.b.Handle(peer.TypeMemberProbe, func(_ context.Context, from peer.Name, payload []byte) ([]byte, error) {
		return nil, p.b.Send(from, peer.TypeMemberAck, payload)
	})
	p.a.Handle(peer.TypeMemberAck, func(context.Context, peer.Name, []byte) ([]byte, error) {
		p.acks <- struct{}{}
		return nil, nil
	})
	p.a.SetAddress("b", p.b.Addr().String())
	p.b.Start()
	p.a.Start()
	return p, nil
}

// roundTrips sends n messages of the size, each after the previous one's ack.
func (p *peerPair) roundTrips(n, size int) error {
	payload := make([]byte, size)
	for range n {
		if err := p.a.Send("b", peer.TypeMemberProbe, payload); err != nil {
			return errors.Wrap(err, "send")
		}
		<-p.acks
	}
	return nil
}

// bytesSent returns the bytes that a has sent, with framing and encryption but without
// TCP and IP headers.
func (p *peerPair) bytesSent() float64 {
	return float64(p.metrics.Counter(peerMetrics, "wire_bytes_out").Value())
}

func (p *peerPair) close() {
	p.a.Close()
	p.b.Close()
}

// measurePeers measures the bytes and CPU time of a message against its payload.
func measurePeers(_ context.Context, m *Measurements) error {
	p, err := newPeerPair()
	if err != nil {
		return err
	}
	defer p.close()
	if err := p.roundTrips(1, 1); err != nil { // opens the connection
		return err
	}
	var bytes, cpu []Point
	for _, size := range []int{20, 100, 400, 1000} {
		before := p.bytesSent()
		var sendErr error
		cost := cpuPerOp(2*wireMessages, func() { sendErr = p.roundTrips(wireMessages, size) })
		if sendErr != nil {
			return sendErr
		}
		bytes = append(bytes, Point{float64(size), (p.bytesSent() - before) / wireMessages})
		cpu = append(cpu, Point{float64(size), cost})
	}
	m.Add(NewSeries(seriesWireBytes, "bytes of one message with framing and encryption, without TCP's and IP's headers", "payload B", "B", bytes))
	m.Add(NewSeries(seriesWireCPU, "processor time of one message, sender and receiver together", "payload B", "s", cpu))
	return measurePeerHeap(m)
}

// measurePeerHeap measures the heap of open connections, per end.
func measurePeerHeap(m *Measurements) error {
	var points []Point
	for _, n := range []int{1, 8, 24} {
		var sendErr error
		var pairs []*peerPair
		heapSize := retainedHeap(func() any {
			for range n {
				p, err := newPeerPair()
				if err == nil {
					err = p.roundTrips(1, 1)
				}
				if err != nil {
					sendErr = err
					break
				}
				pairs = append(pairs, p)
			}
			return pairs
		})
		for _, p := range pairs {
			p.close()
		}
		if sendErr != nil {
			return sendErr
		}
		points = append(points, Point{float64(n), heapSize / 2})
	}
	m.Add(NewSeries(seriesPeerHeap, "live heap of one end of connections between daemons, transport included", "connections", "B", points))
	return nil
}
