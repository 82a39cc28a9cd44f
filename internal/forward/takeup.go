package forward

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/lycheekeel/lycheekeel/internal/streamversion"
	"github.com/lycheekeel/lycheekeel/request"
	"github.com/lycheekeel/lycheekeel/route"
)

// StreamVersions knows which software version began each stream.
type StreamVersions interface {
	// Record records the version that began a stream, for a time. It does not block.
	Record(s streamversion.Stream, version string, keepFor time.Duration)
	// Lookup returns the version that began a stream no older than life, or
	// streamversion.ErrUnknown or ErrNoAnswer.
	Lookup(ctx context.Context, s streamversion.Stream, life time.Duration) (version string, err error)
}

// beginAnewAfter is the longest wait for the version of a stream that may as well begin anew.
const beginAnewAfter = 250 * time.Millisecond

// takeUp is what a caller says of a stream that it takes up after its connection broke.
type takeUp struct {
	// lastEvent is the id of the last event that the caller has; empty: the stream begins.
	lastEvent string
	// resumes is the request id of the caller's attempt that brought the first event.
	resumes string
}

// maxLoggedIDBytes bounds what a log line holds of an id that a caller chose.
const maxLoggedIDBytes = 64

// addFields adds what the caller said to the fields of a log line.
func (t takeUp) addFields(f logrus.Fields) {
	if t.lastEvent != "" {
		f["last_event"] = t.lastEvent[:min(len(t.lastEvent), maxLoggedIDBytes)]
	}
	if t.resumes != "" {
		f["resumes"] = t.resumes[:min(len(t.resumes), maxLoggedIDBytes)]
	}
}

// bindTakenUp ties a stream that its caller takes up to the version that began it. The error
// is a refusal.
func (x *exchange) bindTakenUp() error {
	versions := x.server.deps.StreamVersions
	if versions == nil || x.route.Kind != route.Stream || x.takeUp == (takeUp{}) {
		return nil
	}
	ctx := x.ctx
	if x.takeUp.lastEvent == "" { // it may begin anew, which is not to wait for long
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, beginAnewAfter)
		defer cancel()
	}
	version, err := versions.Lookup(ctx, x.streamOf(x.takeUp.resumes), x.route.Timeout+takeUpGrace)
	switch {
	case err == nil:
		x.binding.bind(version)
		return nil
	case x.takeUp.lastEvent == "":
		return nil // the caller begins anew
	case x.ctx.Err() != nil:
		return x.waitRefusal(x.ctx.Err())
	}
	refusal := x.newRefusal(request.ReasonVersionUnknown, "%v", err)
	if errors.Is(err, streamversion.ErrUnknown) {
		refusal.RetryAfter = 0
	}
	return refusal
}

// streamOf identifies the stream that one of the caller's requests began.
func (x *exchange) streamOf(requestID string) streamversion.Stream {
	return streamversion.Stream{Service: x.service, Workspace: x.workspaceName(), Request: requestID}
}

// takeUpGrace is how long after a stream's deadline its version is known: callers are slow
// to notice, too.
const takeUpGrace = 10 * time.Second

// recordVersion records, before the first event is passed on, which version has begun the
// stream.
func (x *exchange) recordVersion(version string) {
	versions := x.server.deps.StreamVersions
	if x.versionRecorded || versions == nil || version == "" || !x.route.Repeatable() {
		return
	}
	x.versionRecorded = true
	keepFor := max(0, time.Until(x.outbound.deadline)) + takeUpGrace
	for _, id := range []string{x.callerRequestID, x.takeUp.resumes} {
		if id != "" {
			versions.Record(x.streamOf(id), version, keepFor)
		}
	}
}
