// Package explain tells one request's story from the logs of many VMs: its
// own lines in order, and what the VMs that took part learned around that
// time.
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

// The window around a request in which other lines are told.
const (
	windowBefore = 5 * time.Second
	windowAfter  = time.Second
)

// maxLineBytes bounds a line of a log, in bytes.
const maxLineBytes = 1 << 20

// Line is one line of a daemon's log.
type Line struct {
	VM      string
	Time    time.Time
	Part    string
	Message string
	// Fields are the others, as the log has them.
	Fields map[string]any
}

// Timeline is what the logs say of a request.
type Timeline struct {
	ID string
	// Lines are the request's own, in order; around are lines of the VMs that
	// took part which say what they learned, in order.
	Lines  []Line
	Around []Line
	// Read is how many lines were read, Skipped how many were no log lines.
	Read, Skipped int
}

// Collector reads logs. It is not safe for concurrent use.
type Collector struct {
	timeline     Timeline
	generalLines []Line
	Progress     func(lines int) // called now and then; may be nil
}

// linesPerProgress is how many lines lie between two calls of Progress.
const linesPerProgress = 1_000_000

// NewCollector returns a collector for the request with the id.
func NewCollector(id string) *Collector { return &Collector{timeline: Timeline{ID: id}} }

// Read reads one log. Lines may have a prefix that ends with the VM's name;
// otherwise the file's name stands for it.
func (c *Collector) Read(file string, r io.Reader) error {
	return scan(file, r, func(l Line, ok bool) {
		c.timeline.Read++
		if c.Progress != nil && c.timeline.Read%linesPerProgress == 0 {
			c.Progress(c.timeline.Read)
		}
		c.add(l, ok)
	})
}

// scan reads a log line by line; take is told false where one is none of a log.
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

// parseLine reads a line; false where it is none of a log.
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

// popString takes a text out of the fields; empty where there is none.
func popString(fields map[string]any, name string) string {
	s, _ := fields[name].(string)
	delete(fields, name)
	return s
}

// Timeline returns the request's story; its Lines are empty where no log has it.
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

// startTime is when the request came, by its line.
func startTime(l Line) time.Time {
	ms, _ := l.Fields["total_ms"].(float64)
	return l.Time.Add(-time.Duration(ms) * time.Millisecond)
}

// participants is who took part in a request.
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

// concernedBy tells whether a line may matter: what the request's own VM learned,
// but for other servers, and what its owner learned of its pools and peers.
func (c participants) concernedBy(l Line) bool {
	if server, ok := l.Fields["server"].(string); ok {
		return c.servers[server] && (c.vms[l.VM] || c.owners[l.VM])
	}
	if about, ok := l.Fields["of"].(string); ok {
		return c.vms[l.VM] && c.owners[about] || c.owners[l.VM] && c.vms[about]
	}
	return c.vms[l.VM] || c.owners[l.VM] && l.Part != "sync"
}
