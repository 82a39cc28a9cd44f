package forward

import (
	"bufio"
	"net"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// midStreamChange is a change between the first event of a stream and its last.
type midStreamChange struct {
	name  string
	apply func(r *harness)
}

func midStreamChanges() []midStreamChange {
	return []midStreamChange{
		{"its key is withdrawn", withdrawKey},
		{"its workspace is removed", func(r *harness) {
			d := testDocument(2)
			d.Workspaces = nil
			r.applyConfig(d)
		}},
		{"its route is removed", func(r *harness) {
			d := testDocument(2)
			d.Routes = d.Routes[:1]
			r.applyConfig(d)
		}},
		{"its route leads to another service", func(r *harness) {
			d := testDocument(2)
			d.Services[0].Name = "other"
			for i := range d.Routes {
				d.Routes[i].Targets[0].Service = "other"
			}
			r.applyConfig(d)
		}},
		{"the configuration is stale", func(r *harness) { r.admission.stale.Store(true) }},
		{"its server is leaving", func(r *harness) { r.admission.leaving.Store("i-1", true) }},
		{"its server is no longer listed", func(r *harness) { r.server.deps.ConnPools.Update(map[string]string{}) }},
	}
}

// serverEnd is what the stream's server does after the change.
type serverEnd struct {
	name string
	// silent: the server is silent until a hedge was considered.
	silent bool
	// breaksOff: the server closes its connection; otherwise it sends the rest.
	breaksOff bool
}

func serverEnds() []serverEnd {
	return []serverEnd{
		{name: "goes on"},
		{name: "is silent and goes on", silent: true},
		{name: "breaks off", breaksOff: true},
		{name: "is silent and breaks off", silent: true, breaksOff: true},
	}
}

// callChanged returns the caller's answer if the change comes after its third event.
func callChanged(t *testing.T, change midStreamChange, end serverEnd) result {
	passedOn := make(chan struct{})
	var r *harness
	first := newBackend(t, func(_ int, head, _ string, c net.Conn) bool {
		writeStreamHead(c, head)
		writeChunk(c, eventsText(1, 3))
		<-passedOn
		change.apply(r)
		if end.silent {
			// The first two checks are at the request's arrival and at its first send.
			r.waitUntil("a hedge was considered", func() bool { return r.admission.freshCalls.Load() > 2 })
		}
		if end.breaksOff {
			return false
		}
		writeChunk(c, eventsText(4, 6))
		writeStreamEnd(c)
		return true
	})
	others := newBackend(t, streamEvents(6, 0, ""))
	hook := func(*stream) {}
	if end.silent {
		hook = startHedgesEarly
	}
	r = newHarnessWithHook(t, hook, first, others, others)
	caller := r.dial()
	caller.send("POST", "/resume/", "1", "", "x")
	caller.reader = bufio.NewReader(&signalingReader{inner: caller.Conn, until: eventText(3), seen: passedOn})
	return caller.receive()
}

// Guards against cutting a stream, which a server would complete, because the configuration changed after its request was accepted.
func TestConfigurationChangeCutsNoStream(t *testing.T) {
	changes, ends := midStreamChanges(), serverEnds()
	got := make([]result, len(changes)*len(ends))
	var group sync.WaitGroup
	for i := range got {
		group.Go(func() { got[i] = callChanged(t, changes[i/len(ends)], ends[i%len(ends)]) })
	}
	group.Wait()
	Convey("The caller gets the complete answer of a stream whose server", t, func() {
		for i, g := range got {
			Convey(ends[i%len(ends)].name+", where "+changes[i/len(ends)].name, func() {
				So(g.body, ShouldEqual, eventsText(1, 6))
				So(g.complete, ShouldBeTrue)
			})
		}
	})
}
