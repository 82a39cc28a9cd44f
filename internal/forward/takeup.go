package forward

import "github.com/sirupsen/logrus"

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
