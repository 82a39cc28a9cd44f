package workspace_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// goodTemplate is a valid template, in which each case below replaces one text.
const goodTemplate = `{"kind":"Template","name":"t",
"parameters":{"d":{"type":"int","default":5000,"min":1000,"max":9000},"v":{"type":"string","enum":["v1","v2"],"default":"v1"}},
"tiers":[{"name":"a","priority":0,"first_token_ms":1000,"per_token_ms":50,"deadline_ms":"${d}","max_waiting":5},
{"name":"b","priority":1,"first_token_ms":1000,"per_token_ms":50,"deadline_ms":2000,"max_waiting":0}],
"default_tier":"a","max_tokens":100,"max_body_bytes":1000,
"models":[{"name":"m","version":"${v}","tier":"b"}],
"services":[{"name":"s","pool":"p","rules":[{"method":"POST","path":"/x/**","idempotent":false,"tier":"a"}]}]}`

func TestTemplateFindings(t *testing.T) {
	cases := []struct{ old, new, path, reason string }{
		{`"default_tier":"a"`, `"default_tier":"z"`, "default_tier", `no tier "z"`},
		{`"default_tier":"a"`, `"default_tier":"a","limits":1`, "limits", "unknown field"},
		{`"default_tier":"a"`, `"Default_Tier":"a"`, "Default_Tier", "lower case"},
		{`"default_tier":"a"`, `"default_tier":"a","default_tier":"b"`, "default_tier", "stands twice"},
		{`"priority":1`, `"priority":0`, "tiers[1].priority", "stands twice"},
		{`"priority":1`, `"priority":8`, "tiers[1].priority", "between 0 and 7"},
		{`"priority":1`, `"priority":"1"`, "tiers[1].priority", "want a number"},
		{`"deadline_ms":2000`, `"deadline_ms":999`, "tiers[1].first_token_ms", "over deadline_ms"},
		{`"deadline_ms":2000`, `"deadline_ms":-1`, "tiers[1].deadline_ms", "not between"},
		{`"deadline_ms":2000`, `"deadline_ms":2.5`, "tiers[1].deadline_ms", "want an integer"},
		{`"${d}"`, `"${x}"`, "tiers[0].deadline_ms", `parameter "x" is not declared`},
		{`"${d}"`, `"${v}"`, "tiers[0].deadline_ms", `want "int"`},
		{`"default":5000`, `"default":10000`, "parameters.d.default", "over the parameter's max"},
		{`"default":5000`, `"default":"no"`, "parameters.d.default", "want an integer"},
		{`"min":1000`, `"min":9999`, "parameters.d.min", "over max"},
		{`"type":"string"`, `"type":"text"`, "parameters.v.type", "not one of"},
		{`"default":"v1"`, `"default":"v9"`, "parameters.v.default", "not one of"},
		{`"name":"m"`, `"name":"M"`, "models[0].name", "not a name"},
		{`"tier":"b"`, `"tier":"c"`, "models[0].tier", `no tier "c"`},
		{`"method":"POST"`, `"method":"post"`, "services[0].rules[0].method", "not one of"},
		{`/x/**`, `/**/x`, "services[0].rules[0].path", "only at the end"},
		{`"max_tokens":100`, `"max_tokens":0`, "max_tokens", "not between"},
		{`"max_tokens":100`, `"max_tokens":null`, "max_tokens", "want an integer"},
	}
	Convey("The unchanged template has no findings", t, func() {
		docs, findings := workspace.ParseFile("f.json", []byte(goodTemplate))
		So(findings, ShouldBeEmpty)
		So(docs, ShouldHaveLength, 1)
	})
	for _, c := range cases {
		Convey(fmt.Sprintf("%s is reported", c.new), t, func() {
			invalid := strings.Replace(goodTemplate, c.old, c.new, 1)
			So(invalid, ShouldNotEqual, goodTemplate)
			_, findings := workspace.ParseFile("f.json", []byte(invalid))
			So(findings, ShouldNotBeEmpty)
			paths := map[string]string{}
			for _, f := range findings {
				paths[f.Path] = f.Reason
			}
			So(paths, ShouldContainKey, c.path)
			So(paths[c.path], ShouldContainSubstring, c.reason)
		})
	}
}

func TestAllFindingsTogether(t *testing.T) {
	Convey("One check returns the findings of every object of a file", t, func() {
		_, findings := workspace.ParseFile("f.json", []byte(`[
			{"kind":"Workspace","name":"W","template":"t","keys":[{"id":"a","sha256":"12"}]},
			{"kind":"Pool","name":"p","region":"r","model":"m","version":"v1","service":"s","policy":"best","min_servers":40},
			{"kind":"BackendServer","name":"s","address":"engine.local:80","region":"r","availability_zone":"z","pool":"p","slots":-1},
			{"kind":"Lease","name":"l"}, {"name":"x"}, 7]`))
		var paths []string
		for _, f := range findings {
			paths = append(paths, f.Path)
		}
		So(paths, ShouldResemble, []string{
			"[0].name", "[0].keys[0].sha256", "[1].service", "[1].policy", "[1].min_servers",
			"[2].address", "[2].slots", "[3].kind", "[4].kind", "[5]",
		})
	})
	Convey("Invalid JSON gives one finding with its line", t, func() {
		for _, text := range []string{"{\n\"kind\":", "{} {}", "\xff", strings.Repeat("[", 100)} {
			_, findings := workspace.ParseFile("f.json", []byte(text))
			So(findings, ShouldHaveLength, 1)
		}
	})
	Convey("An unknown member of a stored object is only a warning", t, func() {
		// An older daemon must serve objects written by a newer release.
		o := objectstore.Object{Kind: workspace.KindPool, Name: "p", Value: []byte(`{"name":"p","region":"r","service":"s","since_next":1}`)}
		findings := workspace.CheckObject(o)
		So(findings, ShouldHaveLength, 1)
		So(findings.Fatal(), ShouldBeEmpty)
	})
	Convey("The name in the value must be that of the stored object", t, func() {
		o := objectstore.Object{Kind: workspace.KindPool, Name: "q", Value: []byte(`{"name":"p","region":"r","service":"s"}`)}
		So(workspace.CheckObject(o).Fatal(), ShouldHaveLength, 1)
	})
}

func TestParseFileSurvivesAnyInput(t *testing.T) {
	// Guards against a stored object that crashes the CLI or every daemon.
	rapid.Check(t, func(t *rapid.T) {
		text := []byte(goodTemplate)
		for range rapid.IntRange(1, 4).Draw(t, "edits") {
			from := rapid.IntRange(0, len(text)-1).Draw(t, "from")
			to := min(len(text), from+rapid.IntRange(0, 12).Draw(t, "length"))
			piece := rapid.SampledFrom([]string{"", "0", "-1", "null", "{}", "[]", `""`, `"${d}"`, `"${v}"`, "\xff", "\"", ","}).Draw(t, "piece")
			text = slices.Concat(text[:from], []byte(piece), text[to:])
		}
		docs, findings := workspace.ParseFile("f", text)
		if (len(docs) == 0) != (len(findings) > 0) {
			t.Fatalf("got %d documents with findings %v, want either documents or findings", len(docs), findings)
		}
		for _, d := range docs {
			value, err := d.Value()
			o := objectstore.Object{Kind: d.Kind, Name: d.Name, Version: 1, Value: value}
			if err != nil || workspace.CheckObject(o) != nil {
				t.Fatalf("document was accepted, but its stored form is not valid: error %v, findings %v", err, workspace.CheckObject(o))
			}
			user := objectstore.Object{Kind: workspace.KindWorkspace, Name: "w", Version: 2, Value: []byte(
				`{"name":"w","template":"` + d.Name + `","keys":[{"id":"k","sha256":"` + strings.Repeat("0", 64) + `"}]}`)}
			workspace.Compile([]objectstore.Object{o, user})
		}
	})
}
