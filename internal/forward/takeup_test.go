package forward

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/internal/streamversion"
	"github.com/lycheekeel/lycheekeel/route"
)

// fakeStreamVersions knows the versions that it is given, and records nothing of its own.
type fakeStreamVersions struct {
	mu       sync.Mutex
	versions map[string]string // by request id
	err      error             // of the others
	asked    []streamversion.Stream
	recorded map[string]string // by request id
	onRecord func()
}

func (f *fakeStreamVersions) Record(s streamversion.Stream, version string, _ time.Duration) {
	if f.onRecord != nil {
		f.onRecord()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.recorded == nil {
		f.recorded = map[string]string{}
	}
	f.recorded[s.Request] = version
}

func (f *fakeStreamVersions) Lookup(_ context.Context, s streamversion.Stream, _ time.Duration) (string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked = append(f.asked, s)
	if v, ok := f.versions[s.Request]; ok {
		return v, nil
	}
	return "", f.err
}

func (r *harness) withStreamVersions(f *fakeStreamVersions) {
	wire := r.server.deps.Wire
	wire.Resumes = "Resumes"
	r.server.wire, r.server.deps.Wire, r.server.deps.StreamVersions = wire, wire, f
}

// Guards against: a stream that its caller takes up goes on at another version, or at one
// that nobody knows to have begun it.
func TestTakenUpStreamKeepsItsVersion(t *testing.T) {
	Convey("Given servers of two versions", t, func() {
		one, two := newBackend(t, streamEvents(9, 0, "")), newBackend(t, streamEvents(9, 0, ""))
		r := newHarness(t, one, two)
		r.setVersions("", "v1", "v2")
		f := &fakeStreamVersions{versions: map[string]string{"begun at v2": "v2", "begun at v3": "v3"}, err: streamversion.ErrUnknown}
		r.withStreamVersions(f)
		Convey("it goes on at the version that began it", func() {
			for range 3 {
				got := r.call("POST", "/resume/", "again", "Last-Event-Id: 4\r\nResumes: begun at v2\r\n", "x")
				So(got.body, ShouldEqual, eventsText(5, 9))
			}
			So(one.requests(), ShouldBeEmpty)
			So(f.asked[0], ShouldResemble, streamversion.Stream{Service: "svc", Workspace: "space", Request: "begun at v2"})
			So(headerOf(two.requests()[0], "Resumes"), ShouldEqual, "begun at v2")
		})
		Convey("its own id and the first one are recorded, for what comes next", func() {
			r.call("POST", "/resume/", "again", "Last-Event-Id: 4\r\nResumes: begun at v2\r\n", "x")
			So(f.recorded, ShouldResemble, map[string]string{"again": "v2", "begun at v2": "v2"})
		})
		Convey("nobody knows it: it is refused, not run, and need not come back", func() {
			got := r.call("POST", "/resume/", "again", "Last-Event-Id: 4\r\nResumes: made up\r\n", "x")
			So(got.status, ShouldEqual, 503)
			So(strings.TrimSpace(got.body), ShouldEqual, "version_unknown")
			So(got.header.Peek("Retry-After"), ShouldBeEmpty)
			So(r.broker.acquireCount(), ShouldEqual, 0)
			So(r.quotas.used(), ShouldEqual, 0)
		})
		Convey("those that may know it did not answer: it may come back", func() {
			f.err = streamversion.ErrNoAnswer
			got := r.call("POST", "/resume/", "again", "Last-Event-Id: 4\r\nResumes: lost\r\n", "x")
			So(got.status, ShouldEqual, 503)
			So(got.header.Peek("Retry-After"), ShouldNotBeEmpty)
		})
		Convey("its version is gone: it is refused, not run, and need not come back", func() {
			got := r.call("POST", "/resume/", "again", "Last-Event-Id: 4\r\nResumes: begun at v3\r\n", "x")
			So(got.status, ShouldEqual, 503)
			So(strings.TrimSpace(got.body), ShouldEqual, "version_unavailable")
			So(got.header.Peek("Retry-After"), ShouldBeEmpty)
		})
		Convey("without Resumes, with one of 8 KB, or of bytes that are no text, it is looked up like any other", func() {
			for _, extra := range []string{"", "Resumes: " + strings.Repeat("x", 8<<10) + "\r\n", "Resumes: \x01\xfe\r\n"} {
				got := r.call("POST", "/resume/", "again", "Last-Event-Id: 4\r\n"+extra, "x")
				So(got.status, ShouldBeIn, 503, 400)
			}
			So(r.broker.acquireCount(), ShouldEqual, 0)
		})
		Convey("a caller that names an unknown stream but has none of its events begins anew", func() {
			got := r.call("POST", "/resume/", "again", "Resumes: made up\r\n", "x")
			So(got.body, ShouldEqual, eventsText(1, 9))
		})
		Convey("requests that are no streams are not looked up", func() {
			r.call("POST", "/again/", "call", "Last-Event-Id: 4\r\nResumes: made up\r\n", "x")
			So(f.asked, ShouldBeEmpty)
			So(r.broker.acquireCount(), ShouldEqual, 1)
		})
	})
}

// Guards against: the rest of a stream goes to another service of its route than the one that
// began it.
func TestTakenUpStreamKeepsItsService(t *testing.T) {
	Convey("Given a route with two services", t, func() {
		r := newHarness(t, newBackend(t, streamEvents(9, 0, "")))
		d := testDocument(2)
		d.Services = append(d.Services, route.Service{Name: "other"})
		for i := range d.Routes {
			d.Routes[i].Targets = []route.Target{{Service: "svc", Weight: 1}, {Service: "other", Weight: 1}}
		}
		r.applyConfig(d)
		services := map[string]int{}
		for i := range 40 {
			begun, again := fmt.Sprint("begun ", i), fmt.Sprint("again ", i)
			r.withStreamVersions(&fakeStreamVersions{})
			r.call("POST", "/resume/", begun, "", "x")
			r.withStreamVersions(&fakeStreamVersions{versions: map[string]string{begun: ""}})
			r.call("POST", "/resume/", again, "Last-Event-Id: 4\r\nResumes: "+begun+"\r\n", "x")
			So(r.broker.demands, ShouldHaveLength, 2*i+2)
			So(r.broker.demands[2*i+1].Spec.Service, ShouldEqual, r.broker.demands[2*i].Spec.Service)
			services[r.broker.demands[2*i].Spec.Service]++
		}
		So(services["svc"], ShouldBeBetween, 5, 35)
		So(services["other"], ShouldBeBetween, 5, 35)
	})
}

// Guards against: a caller has the first event before anybody knows which version began it.
func TestVersionIsRecordedBeforeTheFirstEvent(t *testing.T) {
	Convey("The stream's version is recorded once its first event is here, and before its caller has it", t, func() {
		goOn := make(chan struct{})
		b := newBackend(t, func(_ int, head, _ string, c net.Conn) bool {
			writeStreamHead(c, head)
			writeChunk(c, ": a comment is no event\n\n")
			<-goOn
			writeChunk(c, eventsText(1, 9))
			writeStreamEnd(c)
			return true
		})
		r := newHarness(t, b)
		r.setVersions("", "v1")
		f := &fakeStreamVersions{}
		recording, recorded := make(chan struct{}), make(chan struct{})
		f.onRecord = func() { close(recording); <-recorded }
		r.withStreamVersions(f)
		c := r.dial()
		c.send("POST", "/resume/", "new", "", "x")
		r.waitUntil("the comment has arrived", func() bool { return len(b.requests()) == 1 })
		select {
		case <-recording:
			So("the version was recorded before the first event", ShouldBeEmpty)
		default:
		}
		close(goOn)
		<-recording
		close(recorded)
		So(c.receive().body, ShouldEndWith, eventsText(1, 9))
		So(f.recorded, ShouldResemble, map[string]string{"new": "v1"})
	})
	Convey("A stream that may not be taken up is not recorded", t, func() {
		r := newHarness(t, newBackend(t, streamEvents(9, 0, "")))
		r.setVersions("", "v1")
		f := &fakeStreamVersions{}
		r.withStreamVersions(f)
		So(r.call("POST", "/stream/", "new", "", "x").body, ShouldEqual, eventsText(1, 9))
		So(f.recorded, ShouldBeEmpty)
	})
}
