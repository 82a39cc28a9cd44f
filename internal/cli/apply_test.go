package cli

import (
	"bytes"
	"context"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"

	standin "github.com/lycheekeel/lycheekeel/internal/standin/objectstore"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// servePlatform serves a stand-in platform and returns it and its address.
func servePlatform(t *testing.T) (*standin.Standin, string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	store := standin.New(standin.Options{})
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { _ = store.Serve(ctx, ln) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	return store, ln.Addr().String()
}

// runTool runs the command-line tool with the given arguments.
func runTool(args ...string) (code ExitCode, stdout, stderr string) {
	var out, errs bytes.Buffer
	code = ExitCode(Main(args, &out, &errs))
	return code, out.String(), errs.String()
}

func TestApplyCommands(t *testing.T) {
	Convey("Given a platform", t, func() {
		store, address := servePlatform(t)
		examples := filepath.Join("..", "..", "examples", "punchline")

		Convey("a missing file, a missing or invalid platform address, and an unknown kind are usage errors", func() {
			for _, args := range [][]string{{"apply"}, {"apply", "-f", examples}, {"apply", "-f", examples, "--platform", "store:1"}, {"get", "Thing", "--platform", address}} {
				code, _, stderr := runTool(args...)
				So(code, ShouldEqual, ExitUsage)
				So(stderr, ShouldNotBeEmpty)
			}
		})
		Convey("an unreachable platform has its own exit code", func() {
			code, _, _ := runTool("apply", "-f", examples, "--platform", "127.0.0.1:1")
			So(code, ShouldEqual, ExitUnreachable)
		})
		Convey("an example is shown by a dry run, then applied, and is unchanged afterwards", func() {
			code, stdout, stderr := runTool("apply", "-f", examples, "--dry-run", "--platform", address)
			So([]any{code, stderr}, ShouldResemble, []any{ExitOK, ""})
			So(stdout, ShouldContainSubstring, "create Template/handover")
			So(store.Calls()["create"], ShouldEqual, 0)
			code, _, stderr = runTool("apply", "-f", examples, "--platform", "http://"+address)
			So([]any{code, stderr}, ShouldResemble, []any{ExitOK, ""})
			_, stdout, _ = runTool("diff", "-f", examples, "--platform", address)
			So(stdout, ShouldEqual, "34 objects unchanged\n")

			Convey("the output of get can be edited and applied once; a second time is a conflict", func() {
				code, stdout, _ := runTool("get", "templates", "handover", "-o", "json", "--platform", address)
				So(code, ShouldEqual, ExitOK)
				file := filepath.Join(t.TempDir(), "t.json")
				edited := strings.Replace(stdout, `"per_token_ms": 62`, `"per_token_ms": 55`, 1)
				So(os.WriteFile(file, []byte(edited), 0o600), ShouldBeNil)
				code, stdout, stderr = runTool("apply", "-f", file, "--platform", address)
				So([]any{code, stderr}, ShouldResemble, []any{ExitOK, ""})
				So(stdout, ShouldContainSubstring, "~ tiers[urgent].per_token_ms: 62 -> 55")
				code, _, stderr = runTool("apply", "-f", file, "--platform", address)
				So(code, ShouldEqual, ExitConflict)
				So(stderr, ShouldContainSubstring, "was changed by somebody else")
			})
			Convey("an object that others refer to is not deleted", func() {
				code, _, stderr := runTool("apply", "--delete", "template/handover", "--platform", address)
				So(code, ShouldEqual, ExitFindings)
				So(strings.Count(stderr, `no template "handover"`), ShouldEqual, 5)
				code, _, _ = runTool("apply", "--delete", "workspace/nugegoda-buyers", "--platform", address)
				So(code, ShouldEqual, ExitOK)
				code, _, stderr = runTool("get", "workspace", "nugegoda-buyers", "--platform", address)
				So(code, ShouldEqual, ExitFailure)
				So(stderr, ShouldContainSubstring, "lists all")
			})
			Convey("a list is printed as a table", func() {
				code, stdout, _ := runTool("get", "workspace", "--platform", address)
				So(code, ShouldEqual, ExitOK)
				So(strings.Count(stdout, string(workspace.KindWorkspace)), ShouldEqual, 5)
			})
		})
		Convey("the findings of all files are reported together and nothing is written", func() {
			dir := t.TempDir()
			for name, text := range map[string]string{
				"a.json": `{"kind":"Pool","name":"p","region":"r"}`,
				"b.json": `{"kind":"Workspace","name":"w","template":"none","keys":[{"id":"k","sha256":"` + strings.Repeat("0", 64) + `"}]}`,
			} {
				So(os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600), ShouldBeNil)
			}
			code, _, stderr := runTool("apply", "-f", dir, "--platform", address)
			So(code, ShouldEqual, ExitFindings)
			So(stderr, ShouldContainSubstring, "a.json: model: missing")
			So(stderr, ShouldContainSubstring, `b.json: template: no template "none"`)
			So(store.Calls()["create"], ShouldEqual, 0)
		})
	})
}
