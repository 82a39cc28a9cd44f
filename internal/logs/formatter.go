package logs

import (
	"bytes"
	"fmt"
	"sort"

	"github.com/sirupsen/logrus"
)

// textTimeLayout is RFC 3339 with milliseconds.
const textTimeLayout = "2006-01-02T15:04:05.000Z07:00"

// prefixFormatter writes "time level [part] message key=value ...".
type prefixFormatter struct{}

// Format implements logrus.Formatter.
func (prefixFormatter) Format(e *logrus.Entry) ([]byte, error) {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %-5.5s [%v] %s", e.Time.Format(textTimeLayout), e.Level, e.Data[fieldPart], e.Message)
	keys := make([]string, 0, len(e.Data))
	for k := range e.Data {
		if k != fieldPart {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	for _, k := range keys {
		fmt.Fprintf(&b, " %s=%q", k, fmt.Sprint(e.Data[k]))
	}
	b.WriteByte('\n')
	return b.Bytes(), nil
}
