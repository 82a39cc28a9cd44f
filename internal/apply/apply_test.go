package apply

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"sync"
	"testing"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"

	standin "github.com/lycheekeel/lycheekeel/internal/standin/objectstore"
	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// poolDocument returns a document of a pool with a queue limit.
func poolDocument(name, waiting string) workspace.Document {
	docs, findings := workspace.ParseFile(name+".json",
		[]byte(`{"kind":"Pool","name":"`+name+`","region":"r","service":"s","max_waiting":`+waiting+`}`))
	So(findings, ShouldBeEmpty)
	return docs[0]
}

// planChanges plans documents against the stored objects.
func planChanges(ctx context.Context, store *standin.Standin, docs ...workspace.Document) []Change {
	stored, err := Read(ctx, store)
	So(err, ShouldBeNil)
	So(Check(docs, nil, stored), ShouldBeEmpty)
	changes, err := Plan(docs, nil, stored)
	So(err, ShouldBeNil)
	return changes
}

func TestConcurrentWritesConflict(t *testing.T) {
	// Guards against an operator's accepted change that is overwritten without
	// notice.
	Convey("The second of two operators is shown the first one's change", t, func() {
		ctx := context.Background()
		store := standin.New(standin.Options{})
		_, err := Write(ctx, store, planChanges(ctx, store, poolDocument("p", "1"))[0])
		So(err, ShouldBeNil)
		mine, theirs := planChanges(ctx, store, poolDocument("p", "2"))[0], planChanges(ctx, store, poolDocument("p", "3"))[0]
		So(mine.Fields, ShouldHaveLength, 1)
		So(mine.Fields[0].String(), ShouldEqual, "~ max_waiting: 1 -> 2")
		v, err := Write(ctx, store, theirs)
		So(err, ShouldBeNil)

		_, err = Write(ctx, store, mine)
		var conflict *ConflictError
		So(errors.As(err, &conflict), ShouldBeTrue)
		So(conflict.Found, ShouldEqual, v)
		So(conflict.Theirs[0].String(), ShouldEqual, "~ max_waiting: 1 -> 3")
		o, _ := store.Get(ctx, workspace.KindPool, "p")
		So(o.Version, ShouldEqual, v)

		Convey("also if the file names the version that it is based on", func() {
			d := poolDocument("p", "4")
			d.ExpectVersion = mine.Version
			stored, _ := Read(ctx, store)
			_, err := Plan([]workspace.Document{d}, nil, stored)
			So(errors.As(err, &conflict), ShouldBeTrue)
		})
		Convey("and if the first one deleted the object", func() {
			_, err := Write(ctx, store, Change{Kind: workspace.KindPool, Name: "p", Action: Delete, Version: v})
			So(err, ShouldBeNil)
			_, err = Write(ctx, store, mine)
			So(errors.As(err, &conflict), ShouldBeTrue)
			So(conflict.Error(), ShouldContainSubstring, "was deleted by somebody else")
		})
	})
}

func TestLostAnswers(t *testing.T) {
	// Guards against an apply that reports a failure or a conflict although the
	// change was written, and against a retry that overwrites another operator's
	// change.
	Convey("After a lost answer the outcome is determined by reading back", t, func() {
		ctx := context.Background()
		store := standin.New(standin.Options{})
		loseNextAnswer := func() { store.SetFaults(standin.Faults{LoseNext: 1}) }
		loseNextAnswer()
		v, err := Write(ctx, store, planChanges(ctx, store, poolDocument("p", "1"))[0])
		So(err, ShouldBeNil)
		So(v, ShouldEqual, 1)
		loseNextAnswer()
		v, err = Write(ctx, store, planChanges(ctx, store, poolDocument("p", "2"))[0])
		So(err, ShouldBeNil)
		So(v, ShouldEqual, 2)
		Convey("also if reads are stale and the write is retried", func() {
			change := planChanges(ctx, store, poolDocument("p", "3"))[0]
			store.SetFaults(standin.Faults{LoseNext: 1, StaleWrites: 1})
			reads := &staleFirstRead{Standin: store}
			v, err := Write(ctx, reads, change)
			So(err, ShouldBeNil)
			So(v, ShouldEqual, 3)
			So(reads.gets, ShouldBeGreaterThan, 1)
		})
		Convey("also for a deletion", func() {
			loseNextAnswer()
			_, err = Write(ctx, store, Change{Kind: workspace.KindPool, Name: "p", Action: Delete, Version: v})
			So(err, ShouldBeNil)
			_, err = store.Get(ctx, workspace.KindPool, "p")
			So(errors.Is(err, objectstore.ErrNotFound), ShouldBeTrue)
		})
	})
	Convey("A write that fails because the store is unavailable is reported as not written", t, func() {
		ctx := context.Background()
		store := standin.New(standin.Options{})
		change := planChanges(ctx, store, poolDocument("p", "1"))[0]
		store.SetFaults(standin.Faults{Down: true})
		_, err := Write(ctx, store, change)
		So(errors.Is(err, objectstore.ErrUnavailable), ShouldBeTrue)
	})
}

func TestNoLostUpdate(t *testing.T) {
	// Guards against a lost update when several operators change one template.
	Convey("The last version of a template contains every accepted change", t, func() {
		ctx := context.Background()
		store := standin.New(standin.Options{Seed: 7})
		_, err := store.Create(ctx, workspace.KindTemplate, "t", []byte(`{"name":"t"}`))
		So(err, ShouldBeNil)
		store.SetFaults(standin.Faults{LoseFraction: 0.33})
		const operators, edits = 4, 5
		var wg conc.WaitGroup
		var accepted sync.Map
		for i := range operators {
			wg.Go(func() {
				for n := range edits {
					name := fmt.Sprintf("p%d-%d", i, n)
					for addParameter(ctx, store, name) != nil {
						continue
					}
					accepted.Store(name, true)
				}
			})
		}
		wg.Wait()
		o, err := store.Get(ctx, workspace.KindTemplate, "t")
		So(err, ShouldBeNil)
		var last workspace.Template
		So(json.Unmarshal(o.Value, &last), ShouldBeNil)
		So(last.Parameters, ShouldHaveLength, operators*edits)
		accepted.Range(func(name, _ any) bool {
			So(last.Parameters, ShouldContainKey, name)
			return true
		})
	})
}

// addParameter adds a parameter to the stored template.
func addParameter(ctx context.Context, store *standin.Standin, name string) error {
	o, err := store.Get(ctx, workspace.KindTemplate, "t")
	if err != nil {
		return err
	}
	var t workspace.Template
	if err := json.Unmarshal(o.Value, &t); err != nil {
		return err
	}
	parameters := map[string]workspace.Parameter{name: {Type: "string"}}
	maps.Copy(parameters, t.Parameters)
	t.Parameters = parameters
	changes, err := Plan([]workspace.Document{{Kind: workspace.KindTemplate, Name: "t", Object: &t}}, nil, []objectstore.Object{o})
	if err != nil {
		return err
	}
	_, err = Write(ctx, store, changes[0])
	return err
}

func TestRecheck(t *testing.T) {
	// Guards against concurrent changes that do not fit together, of which neither
	// operator is told; the workspace would keep its old form, or be served by some
	// daemons only.
	Convey("A concurrent change that does not fit is found after the write", t, func() {
		ctx := context.Background()
		store := standin.New(standin.Options{})
		v, err := Write(ctx, store, planChanges(ctx, store, poolDocument("p", "1"))[0])
		So(err, ShouldBeNil)
		before, err := Read(ctx, store)
		So(err, ShouldBeNil)
		_, err = store.Create(ctx, workspace.KindBackendServer, "s", []byte(`{"name":"s","address":"10.0.0.1:1","region":"r","availability_zone":"z","pool":"p"}`))
		So(err, ShouldBeNil)
		findings, err := Recheck(ctx, store, before)
		So(err, ShouldBeNil)
		So(findings, ShouldBeEmpty)
		_, err = Write(ctx, store, Change{Kind: workspace.KindPool, Name: "p", Action: Delete, Version: v})
		So(err, ShouldBeNil)
		findings, err = Recheck(ctx, store, before)
		So(err, ShouldBeNil)
		So(findings, ShouldHaveLength, 1)
		So(findings[0].File, ShouldEqual, "BackendServer/s")
	})
}

// staleFirstRead serves a stale first read and clears the store's faults after
// it.
type staleFirstRead struct {
	*standin.Standin
	gets int
}

func (s *staleFirstRead) Get(ctx context.Context, kind objectstore.Kind, name string) (objectstore.Object, error) {
	o, err := s.Standin.Get(ctx, kind, name)
	if s.gets++; s.gets == 1 {
		s.SetFaults(standin.Faults{})
	}
	return o, err
}

func TestCheckAll(t *testing.T) {
	Convey("The findings of all files are returned together", t, func() {
		dir := t.TempDir()
		for name, text := range map[string]string{
			"a.json": `{"kind":"Pool","name":"p","region":"r"}`,
			"b.json": `[{"kind":"Workspace","name":"w","template":"none","keys":[]}]`,
			"c.json": `{"kind":`,
		} {
			So(os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600), ShouldBeNil)
		}
		_, findings, err := Load([]string{dir})
		So(err, ShouldBeNil)
		So(findings, ShouldHaveLength, 3)
		_, _, err = Load([]string{filepath.Join(dir, "none.json")})
		So(err, ShouldNotBeNil)
	})
	Convey("A deletion that leaves a server without its pool is a finding; an earlier problem is a warning", t, func() {
		stored := []objectstore.Object{
			{Kind: workspace.KindPool, Name: "p", Version: 1, Value: []byte(`{"name":"p","region":"r","service":"s"}`)},
			{Kind: workspace.KindBackendServer, Name: "s", Version: 2, Value: []byte(`{"name":"s","address":"10.0.0.1:1","region":"r","availability_zone":"z","pool":"p"}`)},
			{Kind: workspace.KindBackendServer, Name: "t", Version: 3, Value: []byte(`{"name":"t","address":"10.0.0.2:1","region":"r","availability_zone":"z","pool":"q"}`)},
		}
		So(Check([]workspace.Document{poolDocument("p", "1")}, nil, stored).Fatal(), ShouldBeEmpty)
		findings := Check(nil, []Ref{{workspace.KindPool, "p"}}, stored)
		So(findings, ShouldHaveLength, 2)
		So(findings.Fatal(), ShouldHaveLength, 1)
		So(findings.Fatal()[0].File, ShouldEqual, "BackendServer/s")
	})
}

func TestDiff(t *testing.T) {
	Convey("Named list members are compared by name, other lists as a whole", t, func() {
		old := `{"tiers":[{"name":"a","x":1},{"name":"b","x":2}],"n":[1,2],"gone":true}`
		next := `{"tiers":[{"name":"c","x":0},{"name":"b","x":3},{"name":"a","x":1}],"n":[1],"id":9007199254740993}`
		var lines []string
		for _, f := range Diff([]byte(old), []byte(next)) {
			lines = append(lines, f.String())
		}
		So(lines, ShouldResemble, []string{
			"- gone: true", "+ id: 9007199254740993", "~ n: [1,2] -> [1]",
			`~ tiers[b].x: 2 -> 3`, `+ tiers[c]: {"name":"c","x":0}`,
		})
	})
}
