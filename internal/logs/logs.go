// Package logs gives each part of a program its logger: logrus with a fixed
// prefix per part, as text or JSON.
package logs

import (
	"io"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

// base is shared by all parts, so that Configure reaches loggers made before.
var base = logrus.New()

// fieldPart and fieldRequest are the fixed field names of every log line.
const (
	fieldPart    = "part"
	fieldRequest = "request"
)

// jsonTimeLayout has the microseconds by which lines of many VMs are put in order.
const jsonTimeLayout = "2006-01-02T15:04:05.000000Z07:00"

// For returns the logger of a part. It is safe for concurrent use.
func For(part string) *logrus.Entry { return base.WithField(fieldPart, part) }

// WithRequest adds a request's id to a part's logger.
func WithRequest(l *logrus.Entry, id string) *logrus.Entry {
	return l.WithField(fieldRequest, id)
}

// Configure sets where logs go, their level ("debug", "info", "warning",
// "error") and whether they are JSON. Call it before the parts start.
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
