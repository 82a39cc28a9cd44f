// Package cli implements the command-line tool lycheekeel. Each command has its own
// file, which registers the command; this file contains what they share.
package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/lycheekeel/lycheekeel/internal/logs"
)

// appHelp is the first part of the tool's help.
const appHelp = "lycheekeel: operate a request scheduler for heterogeneous engines.\n\n" +
	"Exit codes: 0 done, 1 failed, 2 wrong usage, 3 findings in the input, " +
	"4 conflict with another change, 5 platform or daemon unreachable, 6 outcome unknown."

// globals are shared by all commands: the context, the output streams and the
// global flags.
type globals struct {
	// ctx is canceled by SIGINT or SIGTERM.
	ctx    context.Context
	stdout io.Writer
	stderr io.Writer
	// output is outputTable or outputJSON.
	output   string
	logLevel string
}

// Values of the flag -o.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// registration adds a command to the application.
type registration func(app *kingpin.Application, g *globals)

// registrations is filled by the init functions of the commands' files.
var registrations []registration

// register adds a command; call it from the init function of its file.
func register(r registration) { registrations = append(registrations, r) }

// Main runs the tool with the arguments after the program's name and returns
// its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	g := &globals{ctx: ctx, stdout: stdout, stderr: stderr}
	app := newApp(g)
	_, err := app.Parse(args)
	if err == nil {
		return int(ExitOK)
	}
	code := exitCode(err)
	fmt.Fprintf(stderr, "lycheekeel: %v\n", err)
	if code == ExitUsage {
		fmt.Fprintln(stderr, "lycheekeel: try --help")
	}
	return int(code)
}

// newApp returns the application with all commands.
func newApp(g *globals) *kingpin.Application {
	app := kingpin.New("lycheekeel", appHelp)
	app.UsageWriter(g.stdout)
	app.ErrorWriter(g.stderr)
	app.HelpFlag.Short('h')
	app.Flag("output", "How to print results: table or json.").Short('o').
		Default(outputTable).EnumVar(&g.output, outputTable, outputJSON)
	app.Flag("log-level", "Level of the log on stderr: debug, info, warning or error.").
		Default("warning").EnumVar(&g.logLevel, "debug", "info", "warning", "error")
	app.PreAction(func(*kingpin.ParseContext) error {
		if g.logLevel == "" {
			return nil // --help: no value was set
		}
		return logs.Configure(g.stderr, g.logLevel, false)
	})
	for _, r := range registrations {
		r(app, g)
	}
	return app
}
