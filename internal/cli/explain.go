package cli

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/lycheekeel/lycheekeel/internal/explain"
)

func init() { register(addExplain) }

// clockFormat is the format of a line's time of day.
const clockFormat = "15:04:05.000"

// stdinName is the file argument that means standard input.
const stdinName = "-"

// addExplain adds the command explain.
func addExplain(app *kingpin.Application, g *globals) {
	cmd := app.Command("explain", "Show one request's timeline and its outcome from the logs of many VMs.")
	id := cmd.Arg("id", "The request's id, as its caller sent it.").Required().String()
	files := cmd.Arg("file", "Log files; - or none reads standard input.").Strings()
	cmd.Action(action(func() error {
		c := explain.NewCollector(*id)
		c.Progress = func(lines int) { fmt.Fprintf(g.stderr, "lycheekeel: %d lines read\n", lines) }
		if err := readLogs(c.Read, *files); err != nil {
			return err
		}
		return g.printTimeline(c.Timeline())
	}))
}

// readLogs reads the named logs. The name "-" or no name means standard input.
func readLogs(read func(file string, r io.Reader) error, files []string) error {
	if len(files) == 0 {
		files = []string{stdinName}
	}
	for _, f := range files {
		if err := readLog(read, f); err != nil {
			return err
		}
	}
	return nil
}

func readLog(read func(file string, r io.Reader) error, file string) error {
	if file == stdinName {
		return read("stdin", os.Stdin)
	}
	f, err := os.Open(file)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer f.Close()
	return read(file, f)
}

func (g *globals) printTimeline(s explain.Timeline) error {
	if g.output == outputJSON {
		return g.printJSON(s)
	}
	fmt.Fprintf(g.stdout, "request %s: %s\n", s.ID, s.Cause())
	printLines(g.stdout, "its own lines", s.Lines)
	printLines(g.stdout, "what its VM and its owner learned around then", s.Around)
	fmt.Fprintf(g.stdout, "%d lines read, %d of another kind\n", s.Read, s.Skipped)
	if len(s.Lines) == 0 {
		return errors.Errorf("no line of request %s in %d lines", s.ID, s.Read)
	}
	return nil
}

func printLines(w io.Writer, title string, lines []explain.Line) {
	if len(lines) == 0 {
		return
	}
	fmt.Fprintf(w, "\n%s:\n", title)
	for _, l := range lines {
		names := make([]string, 0, len(l.Fields))
		for name := range l.Fields {
			names = append(names, name)
		}
		slices.Sort(names)
		var sb strings.Builder
		for _, name := range names {
			fmt.Fprintf(&sb, " %s=%v", name, l.Fields[name])
		}
		fmt.Fprintf(w, "  %s %-18s %s%s\n", l.Time.Format(clockFormat), l.VM, l.Message, sb.String())
	}
}
