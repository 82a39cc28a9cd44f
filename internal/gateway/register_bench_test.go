package gateway

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lycheekeel/lycheekeel/discovery"
	"github.com/lycheekeel/lycheekeel/internal/metrics"
	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/quota"
	"github.com/lycheekeel/lycheekeel/route"
	"github.com/lycheekeel/lycheekeel/workspace"
)

const (
	benchServers  = 3000
	benchServices = 12
	// benchBatch is the number of servers that register between two polls.
	benchBatch = 20
)

// benchState returns a state with services and rollouts, but no servers.
func benchState(b *testing.B) *state {
	b.Helper()
	doc := route.Document{Version: 1}
	for i := range benchServices {
		doc.Services = append(doc.Services, route.Service{Name: fmt.Sprint("service-", i)})
	}
	table, findings := route.Compile("bench", doc)
	if findings != nil {
		b.Fatal(findings)
	}
	routes := &route.Live{}
	routes.Update(table)
	s := newState(Platform{}, "r", routes, &workspace.CurrentSnapshot{}, quota.NewLimiter(time.Now, 1, quota.Tolerance{}), func(map[string]string) {}, metrics.New())
	s.rollouts = newRolloutState(true)
	log := logrus.New()
	log.SetOutput(io.Discard)
	s.log = logrus.NewEntry(log)
	return s
}

func benchServer(i int) discovery.Server {
	return discovery.Server{
		ID: fmt.Sprintf("machine-%d.service-%d.%d", i/10, i%benchServices, i), Service: fmt.Sprint("service-", i%benchServices), Version: "v1",
		Address: fmt.Sprintf("10.0.%d.%d:8000", i/200, i%200), AvailabilityZone: fmt.Sprint("zone-", i%3), Slots: 6, StartedAt: 1_700_000_000_000 + int64(i), Sequence: 1, Revision: discovery.Revision(i + 1),
	}
}

// BenchmarkServersRegister measures 3,000 servers that register at a daemon which polls a
// reader, with a rebuild after each answer.
func BenchmarkServersRegister(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		s := benchState(b)
		rev := objectstore.Version(0)
		for i := 0; i < benchServers; i += benchBatch {
			var d discovery.Delta
			for j := range benchBatch {
				d.Changed = append(d.Changed, benchServer(i+j))
			}
			s.applyPeerServers(peerServers{revision: rev + benchBatch, isDelta: true, update: s.serverUpdates, delta: d})
			rev += benchBatch
			s.rebuild()
		}
	}
	b.ReportMetric(float64(b.Elapsed().Milliseconds())/float64(b.N)/(benchServers/benchBatch), "ms/answer")
}

// BenchmarkServerEvents measures one changed server of 3,000 at a daemon that watches the
// store, and the answers to the 23 daemons that poll it.
func BenchmarkServerEvents(b *testing.B) {
	s := benchState(b)
	var all []discovery.Server
	for i := range benchServers {
		all = append(all, benchServer(i))
	}
	rev := objectstore.Version(benchServers)
	s.replaceServers(all, rev)
	b.ReportAllocs()
	for b.Loop() {
		x := all[int(rev)%benchServers]
		x.Slots, x.Sequence, x.Revision = x.Slots+int(rev)%7+1, uint64(rev), discovery.Revision(rev)
		rev++
		s.putServer(x, rev)
		for range daemonsPerReader - 1 {
			s.mu.Lock()
			s.changes.Since(s.changes.Newest() - 1)
			s.mu.Unlock()
		}
	}
}
