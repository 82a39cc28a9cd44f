// Package logs provides the loggers of the program's parts: logrus with a fixed
// prefix per part, in text or JSON format.
package logs

import (
	"io"
	"strconv"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

// base is shared by all parts, so that Configure also affects loggers that exist
// already.
var base = logrus.New()

// Names of the common log fields.
const (
	fieldPart    = "part"
	fieldRequest = "request"
)

// jsonTimeLayout is RFC 3339 with microseconds, so that the lines of many VMs can be
// put in order.
const jsonTimeLayout = "2006-01-02T15:04:05.000000Z07:00"

// For returns the logger of a part. It is safe for concurrent use.
func For(part string) *logrus.Entry { return base.WithField(fieldPart, part) }

// WithRequest returns a logger that adds a request's id to each line.
func WithRequest(l *logrus.Entry, id string) *logrus.Entry {
	return l.WithField(fieldRequest, id)
}

// Configure sets the output of the log, its level ("debug", "info", "warning",
// "error") and its format, JSON or text. Call it before the parts start.
func Configure(out io.Writer, level string, json bool) error {
	lv, err := logrus.ParseLevel(level)
	if err != nil {
		return errors.Wrap(err, "log level")
	}
	base.SetOutput(out)
	base.SetLevel(lv)
	if json {
		base.SetFormatter(&logrus.JSONFormatter{TimestampFormat: jsonTimeLayout})
	} else {
		base.SetFormatter(&prefixFormatter{})
	}
	return nil
}

// Fingerprint returns the form in which logs show a fingerprint, or "" if it is 0.
func Fingerprint(f uint64) string {
	if f == 0 {
		return ""
	}
	return strconv.FormatUint(f, 16)
}

// Fingerprints returns the form in which logs show several fingerprints.
func Fingerprints(all []uint64) []string {
	out := make([]string, len(all))
	for i, f := range all {
		out[i] = Fingerprint(f)
	}
	return out
}
