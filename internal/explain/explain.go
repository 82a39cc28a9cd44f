// Package explain analyzes the logs of many VMs. For one request it collects a
// timeline: the request's own lines in order, and the general lines that the VMs
// involved wrote around that time. For all requests it sums up refusals and
// losses.
package explain

import (
	"bufio"
	"encoding/json"
	"io"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// The time before and after a request in which general lines are included.
const (
	windowBefore = 5 * time.Second
	windowAfter  = time.Second
)

// maxLineBytes is the maximum length of a log line; a longer one is an error.
const maxLineBytes = 1 << 20

// Line is one line of a daemon's log.
type Line struct {
	VM      string
	Time    time.Time
	Part    string
	Message string
	// Fields are the remaining fields except the level, as decoded from JSON.
	Fields map[string]any
}

// Timeline is what the logs contain about one request.
type Timeline struct {
	ID string
	// Lines are the request's own lines, Around the general lines of the VMs
	// involved that were written about the same time. Both are ordered by time.
	Lines  []Line
	Around []Line
	// Read is the number of lines read, Skipped the number of those that are no log
	// lines.
	Read, Skipped int
}

// Collector reads logs and collects one request's lines. It is not safe for
// concurrent use.
type Collector struct {
	timeline     Timeline
	generalLines []Line
	Progress     func(lines int) // called every linesPerProgress lines; may be nil
}

// linesPerProgress is the number of lines between two calls of Progress.
const linesPerProgress = 1_000_000

// NewCollector returns a collector for the request with the given id.
func NewCollector(id string) *Collector { return &Collector{timeline: Timeline{ID: id}} }

// Read reads one log. Lines may have a prefix whose last word is the VM's name;
// without a prefix, the base name of the file is taken as the VM's name.
func (c *Collector) Read(file string, r io.Reader) error {
	return scan(file, r, func(l Line, ok bool) {
		c.timeline.Read++
		if c.Progress != nil && c.timeline.Read%linesPerProgress == 0 {
			c.Progress(c.timeline.Read)
		}
		c.add(l, ok)
	})
}

// scan reads a log and calls handle for each line, with ok false if the line is
// no log line.
func scan(file string, r io.Reader, handle func(l Line, ok bool)) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	vm := strings.TrimSuffix(filepath.Base(file), filepath.Ext(file))
	for scanner.Scan() {
		handle(parseLine(vm, scanner.Text()))
	}
	return errors.Wrapf(scanner.Err(), "read %s", file)
}

func (c *Collector) add(l Line, ok bool) {
	switch {
	case !ok:
		c.timeline.Skipped++
	case l.Fields["request"] == c.timeline.ID:
		c.timeline.Lines = append(c.timeline.Lines, l)
	case l.Fields["request"] == nil:
		c.generalLines = append(c.generalLines, l)
	}
}

// parseLine parses a line and reports whether it is a log line.
func parseLine(vm, text string) (Line, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	if prefix := strings.Fields(text[:start]); len(prefix) > 0 {
		vm = prefix[len(prefix)-1]
	}
	var fields map[string]any
	if err := json.Unmarshal([]byte(text[start:]), &fields); err != nil {
		return Line{}, false
	}
	l := Line{VM: vm, Part: popString(fields, "part"), Message: popString(fields, "msg")}
	at, err := time.Parse(time.RFC3339Nano, popString(fields, "time"))
	if err != nil || l.Part == "" {
		return Line{}, false
	}
	l.Time = at
	delete(fields, "level")
	l.Fields = fields
	return l, true
}

// popString removes a field and returns its value, or "" if it is no string.
func popString(fields map[string]any, name string) string {
	s, _ := fields[name].(string)
	delete(fields, name)
	return s
}

// Timeline returns the request's timeline. Its Lines are empty if no log contains
// the request.
func (c *Collector) Timeline() Timeline {
	t := c.timeline
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(t.Lines, byTime)
	if len(t.Lines) == 0 {
		return t
	}
	from, to := startTime(t.Lines[0]).Add(-windowBefore), t.Lines[len(t.Lines)-1].Time.Add(windowAfter)
	involved := participantsOf(t.Lines)
	for _, l := range c.generalLines {
		if l.Time.After(from) && l.Time.Before(to) && involved.concernedBy(l) {
			t.Around = append(t.Around, l)
		}
	}
	slices.SortStableFunc(t.Around, byTime)
	return t
}

// startTime returns when the request arrived, computed from one of its lines.
func startTime(l Line) time.Time {
	ms, _ := l.Fields["total_ms"].(float64)
	return l.Time.Add(-time.Duration(ms) * time.Millisecond)
}

// participants are the VMs, pool owners and servers involved in a request.
type participants struct{ vms, owners, servers map[string]bool }

func participantsOf(lines []Line) participants {
	c := participants{map[string]bool{}, map[string]bool{}, map[string]bool{}}
	for _, l := range lines {
		c.vms[l.VM] = true
		if owner, ok := l.Fields["owner"].(string); ok {
			c.owners[owner] = true
		}
		if server, ok := l.Fields["server"].(string); ok {
			c.servers[server] = true
		}
		tries, _ := l.Fields["tries"].([]any)
		for _, t := range tries {
			if s, ok := t.(string); ok {
				server, _, _ := strings.Cut(s, " ")
				c.servers[server] = true
			}
		}
	}
	return c
}

// concernedBy reports whether a general line may matter for the request. It must be
// written by the request's VM or by its pool's owner. If it names a server or a
// peer (field "of"), these must be involved, too. Other lines of the owner count
// unless they are about the configuration (part "sync").
func (c participants) concernedBy(l Line) bool {
	if server, ok := l.Fields["server"].(string); ok {
		return c.servers[server] && (c.vms[l.VM] || c.owners[l.VM])
	}
	if about, ok := l.Fields["of"].(string); ok {
		return c.vms[l.VM] && c.owners[about] || c.owners[l.VM] && c.vms[about]
	}
	return c.vms[l.VM] || c.owners[l.VM] && l.Part != "sync"
}
