package membertest

import (
	"bytes"
	"fmt"
	"time"

	"github.com/lycheekeel/lycheekeel/internal/metrics"
	"github.com/lycheekeel/lycheekeel/internal/peer"
	"github.com/lycheekeel/lycheekeel/member"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
)

// Daemon runs membership over a real transport on the loopback interface.
type Daemon struct {
	Transport *peer.TCP
	Runner    *member.Runner
	View      *member.CurrentView
	Registry  *metrics.Registry
}

// clusterKey is the shared transport key of all Daemons.
var clusterKey = bytes.Repeat([]byte("k"), peer.MinKeyBytes)

// StartDaemon starts a daemon with the given seeds.
func StartDaemon(name, region string, seeds []string) (*Daemon, error) {
	d := &Daemon{View: &member.CurrentView{}, Registry: metrics.New()}
	var err error
	d.Transport, err = peer.NewTCP(peer.Options{
		Name: peer.Name(name), Listen: "127.0.0.1:0", Keys: [][]byte{clusterKey}, Registry: d.Registry,
	})
	if err != nil {
		return nil, err
	}
	self := member.Member{
		Name: name, Incarnation: uint64(time.Now().UnixMilli()), Address: d.Transport.Addr().String(),
		Region: region, AvailabilityZone: region + "-a", ProtocolVersion: peer.NewestVersion,
	}
	d.Runner, err = member.NewRunner(member.Config{Self: self, Seeds: seeds},
		member.RunnerOptions{Transport: d.Transport, View: d.View, Registry: d.Registry})
	if err != nil {
		d.Transport.Close()
		return nil, err
	}
	d.Transport.Start()
	d.Runner.Start()
	return d, nil
}

// Address returns the address that the daemon listens on.
func (d *Daemon) Address() string { return d.Transport.Addr().String() }

// CountInState returns the number of members in a state, according to the daemon.
func (d *Daemon) CountInState(s member.State) int {
	n := 0
	for _, m := range d.View.Load().Members {
		if m.State == s {
			n++
		}
	}
	return n
}

// Close stops the daemon without a prior Leave.
func (d *Daemon) Close() {
	d.Runner.Close()
	d.Transport.Close()
}

// wireBytes returns the bytes sent and received, including framing and encryption.
func (d *Daemon) wireBytes() int64 {
	return d.Registry.Counter("peer", "wire_bytes_in").Value() + d.Registry.Counter("peer", "wire_bytes_out").Value()
}

// TCPCost is the cost of membership per member over the real transport. Bytes include
// framing, encryption and connection setup, without TCP and IP headers. CPU includes
// system calls.
type TCPCost struct {
	Members        int           `json:"members"`
	Measured       time.Duration `json:"measured_ns"`
	BytesPerSecond float64       `json:"bytes_per_second"`
	DialsPerSecond float64       `json:"dials_per_second"`
	Connections    float64       `json:"connections"`
	CPU            float64       `json:"cpu"`
	// HeapBytes is the heap per member including its connections.
	HeapBytes float64 `json:"heap_bytes"`
}

// MeasureTCP starts n daemons of one region in this process, waits for the time settle
// until they know each other and their broadcasts have ended, and then measures for the
// given real time.
func MeasureTCP(n int, settle, measured time.Duration) (TCPCost, error) {
	heap := heapBytes()
	var daemons []*Daemon
	defer func() {
		var g conc.WaitGroup
		for _, d := range daemons {
			g.Go(d.Close)
		}
		g.Wait()
	}()
	var seeds []string
	for i := range n {
		d, err := StartDaemon(fmt.Sprintf("entry-%03d", i), "region", seeds)
		if err != nil {
			return TCPCost{}, err
		}
		daemons = append(daemons, d)
		seeds = append(seeds, d.Address())[:min(3, i+1)]
	}
	time.Sleep(settle)
	for _, d := range daemons {
		if d.CountInState(member.Alive) != n {
			return TCPCost{}, errors.Errorf("a daemon knows %d of %d members", d.CountInState(member.Alive), n)
		}
	}
	cost := TCPCost{Members: n, Measured: measured}
	bytesBefore, dialsBefore := sumCounters(daemons)
	cpu := cpuTime()
	time.Sleep(measured)
	perMember := measured.Seconds() * float64(n)
	cost.CPU = (cpuTime() - cpu).Seconds() / perMember
	bytesAfter, dialsAfter := sumCounters(daemons)
	cost.BytesPerSecond = float64(bytesAfter-bytesBefore) / perMember
	cost.DialsPerSecond = float64(dialsAfter-dialsBefore) / perMember
	for _, d := range daemons {
		cost.Connections += float64(d.Transport.Connections()) / float64(n)
	}
	cost.HeapBytes = (heapBytes() - heap) / float64(n)
	return cost, nil
}

func sumCounters(daemons []*Daemon) (wire, dials int64) {
	for _, d := range daemons {
		wire += d.wireBytes()
		dials += d.Registry.Counter("peer", "dials").Value()
	}
	return wire, dials
}
