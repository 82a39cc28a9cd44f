package cli

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/lycheekeel/lycheekeel/internal/apply"
	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/workspace"
)

func init() {
	register(addApply)
	register(addDiff)
}

// configTimeout limits a command that reads or writes configuration.
const configTimeout = 2 * time.Minute

// applyFlags are the flags of apply and diff.
type applyFlags struct {
	platform      *string
	paths         []string
	deletes       []string
	expectVersion uint64
	dryRun        bool
}

// addApply adds the command apply.
func addApply(app *kingpin.Application, g *globals) {
	f := &applyFlags{}
	cmd := app.Command("apply", "Check configuration files, show the differences to the stored objects and write them.")
	f.register(cmd)
	cmd.Flag("dry-run", "Only check the files and show the differences.").BoolVar(&f.dryRun)
	cmd.Action(action(func() error { return g.apply(f) }))
}

// addDiff adds the command diff.
func addDiff(app *kingpin.Application, g *globals) {
	f := &applyFlags{dryRun: true}
	cmd := app.Command("diff", "Check configuration files and show the differences to the stored objects.")
	f.register(cmd)
	cmd.Action(action(func() error { return g.apply(f) }))
}

// register adds the common flags of apply and diff to a command.
func (f *applyFlags) register(cmd *kingpin.CmdClause) {
	f.platform = platformFlag(cmd)
	cmd.Flag("file", "A configuration file or a directory of them; may be repeated.").Short('f').StringsVar(&f.paths)
	cmd.Flag("delete", "Delete KIND/NAME; may be repeated.").PlaceHolder("KIND/NAME").StringsVar(&f.deletes)
	cmd.Flag("expect-version", "Write only if the stored object still has this version; for a single object.").Uint64Var(&f.expectVersion)
}

// applyResult is what apply prints as JSON.
type applyResult struct {
	Findings workspace.Findings `json:"findings,omitempty"`
	Changes  []apply.Change     `json:"changes,omitempty"`
	Written  []writtenObject    `json:"written,omitempty"`
}

// writtenObject is one object that was created, updated or deleted.
type writtenObject struct {
	Kind    objectstore.Kind    `json:"kind"`
	Name    string              `json:"name"`
	Version objectstore.Version `json:"version,omitempty"` // zero for a deletion
}

// apply runs the commands apply and diff.
func (g *globals) apply(f *applyFlags) error {
	ctx, cancel := context.WithTimeout(g.ctx, configTimeout)
	defer cancel()
	deletions, err := f.parseDeletes()
	if err != nil {
		return err
	}
	docs, findings, err := apply.Load(f.paths)
	if err != nil {
		return withExit(ExitUsage, err)
	}
	if f.expectVersion != 0 && len(docs) != 1 {
		return withExit(ExitUsage, errors.Errorf("--expect-version is for a single object, but the files contain %d", len(docs)))
	}
	for i := range docs {
		docs[i].ExpectVersion = max(docs[i].ExpectVersion, objectstore.Version(f.expectVersion))
	}
	api, err := openPlatform(*f.platform)
	if err != nil {
		return g.failUnchecked(findings, err)
	}
	stored, err := apply.Read(ctx, api)
	if err != nil {
		return g.failUnchecked(findings, withPlatformExit(err))
	}
	out := applyResult{Findings: append(findings, apply.Check(docs, deletions, stored)...)}
	if out.Findings.Fatal() == nil {
		out.Changes, err = apply.Plan(docs, deletions, stored)
	}
	return g.writeAndReport(ctx, api, f, stored, out, err)
}

// failUnchecked prints the findings of the files if the check against the stored
// objects failed with err, and returns err.
func (g *globals) failUnchecked(findings workspace.Findings, err error) error {
	g.printFindings(findings)
	return err
}

// writeAndReport prints the findings and changes, writes the changes unless there
// are fatal findings or it is a dry run, and prints the result.
func (g *globals) writeAndReport(ctx context.Context, api objectstore.ObjectAPI, f *applyFlags, stored []objectstore.Object, out applyResult, err error) error {
	g.printFindings(out.Findings)
	if n := len(out.Findings.Fatal()); n > 0 {
		err = withExit(ExitFindings, errors.Errorf("%d fatal findings; nothing was written", n))
	}
	g.printChanges(out.Changes)
	if err == nil && !f.dryRun {
		out.Written, err = g.write(ctx, api, out.Changes)
	}
	if err == nil && len(out.Written) > 0 {
		err = g.recheck(ctx, api, stored, &out)
	}
	if g.output == outputJSON {
		if e := g.printJSON(out); e != nil {
			return e
		}
	}
	return g.applyError(err)
}

// write writes the changes in their order and stops at the first that fails.
func (g *globals) write(ctx context.Context, api objectstore.ObjectAPI, changes []apply.Change) ([]writtenObject, error) {
	var written []writtenObject
	for i, c := range changes {
		if c.Action == apply.Unchanged {
			continue
		}
		v, err := apply.Write(ctx, api, c)
		if err != nil {
			if remaining := len(changes) - i - 1; remaining > 0 {
				fmt.Fprintf(g.stderr, "lycheekeel: stopped at %s/%s; the %d objects after it were not written\n", c.Kind, c.Name, remaining)
			}
			return written, err
		}
		written = append(written, writtenObject{c.Kind, c.Name, v})
		g.printText("%s %s/%s: done, version %d", c.Action, c.Kind, c.Name, v)
	}
	return written, nil
}

// recheck reads the stored objects again and reports findings that arise when
// another operator made a conflicting change at the same time.
func (g *globals) recheck(ctx context.Context, api objectstore.ObjectAPI, stored []objectstore.Object, out *applyResult) error {
	findings, err := apply.Recheck(ctx, api, stored)
	if err != nil {
		g.printText("written, but the check after writing failed: %v", err)
		return nil
	}
	if len(findings) == 0 {
		return nil
	}
	g.printFindings(findings)
	out.Findings = append(out.Findings, findings...)
	return withExit(ExitConflict, errors.New("written, but it conflicts with another change made at the same time; see the findings"))
}

// applyError prints the other change of a conflict and gives an error its exit
// code.
func (g *globals) applyError(err error) error {
	var conflict *apply.ConflictError
	if errors.As(err, &conflict) {
		fmt.Fprintln(g.stderr, "lycheekeel: the conflicting change:")
		for _, c := range conflict.Theirs {
			fmt.Fprintf(g.stderr, "  %s\n", c)
		}
		return withExit(ExitConflict, errors.WithMessage(err, "not overwritten; merge the other change into the file and apply again"))
	}
	if errors.Is(err, objectstore.ErrConflict) {
		return withExit(ExitConflict, err)
	}
	return withPlatformExit(err)
}

// parseDeletes parses the values of --delete.
func (f *applyFlags) parseDeletes() ([]apply.Ref, error) {
	if len(f.paths) == 0 && len(f.deletes) == 0 {
		return nil, withExit(ExitUsage, errors.New("nothing to apply: give -f FILE or --delete KIND/NAME"))
	}
	var out []apply.Ref
	for _, s := range f.deletes {
		kind, name, ok := strings.Cut(s, "/")
		if !ok {
			return nil, withExit(ExitUsage, errors.Errorf("--delete: %q is not KIND/NAME", s))
		}
		k, err := parseKind(kind)
		if err != nil {
			return nil, err
		}
		out = append(out, apply.Ref{Kind: k, Name: name})
	}
	return out, nil
}

// printFindings prints the findings on stderr, unless the output is JSON.
func (g *globals) printFindings(findings workspace.Findings) {
	if g.output == outputJSON {
		return
	}
	for _, f := range findings {
		fmt.Fprintln(g.stderr, f)
	}
}

// printChanges prints what changes in each object.
func (g *globals) printChanges(changes []apply.Change) {
	unchanged := 0
	for _, c := range changes {
		if c.Action == apply.Unchanged {
			unchanged++
			continue
		}
		g.printText("%s %s/%s (version %d)", c.Action, c.Kind, c.Name, c.Version)
		if c.Action == apply.Update {
			for _, f := range c.Fields {
				g.printText("  %s", f)
			}
		}
	}
	if unchanged > 0 {
		g.printText("%d objects unchanged", unchanged)
	}
}

// printText prints a line, unless the output is JSON.
func (g *globals) printText(format string, args ...any) {
	if g.output != outputJSON {
		fmt.Fprintf(g.stdout, format+"\n", args...)
	}
}
