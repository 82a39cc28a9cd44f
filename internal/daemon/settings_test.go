package daemon

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/internal/settings"
	"github.com/lycheekeel/lycheekeel/workspace"
)

const goodSettings = `{
  "name": "entry-1", "region": "colombo", "availability_zone": "kotte-hall",
  "listen": "127.0.0.1:8080", "admin": "127.0.0.1:8081",
  "peer": {"listen": "127.0.0.1:7946", "seeds": ["127.0.0.2:7946"], "cluster_keys": ["0123456789abcdef"]},
  "platform": {"address": "127.0.0.1:9000"},
  "timeouts": {"drain_ms": 1500}
}`

func TestSettings(t *testing.T) {
	Convey("Valid settings are read, with defaults for omitted fields", t, func() {
		file := filepath.Join(t.TempDir(), "entry-1.json")
		So(os.WriteFile(file, []byte(goodSettings), 0o600), ShouldBeNil)
		s, err := LoadSettings(file)
		So(err, ShouldBeNil)
		So(s.Peer.Address, ShouldEqual, "127.0.0.1:7946")
		So(s.Log.Level, ShouldEqual, DefaultLogLevel)
		So(orDefault(s.Timeouts.DrainMs, DefaultDrainDelay), ShouldEqual, 1500*time.Millisecond)
		So(orDefault(s.Timeouts.StopMs, DefaultStopTimeout), ShouldEqual, DefaultStopTimeout)
	})
	Convey("All findings are returned at once, each with its path", t, func() {
		_, err := settings.Parse[Settings]("bad.json", []byte(`{
		  "name": "Entry 1", "region": 5, "listen": "localhost:8080", "admin": "127.0.0.1:8081", "colour": "red",
		  "peer": {"listen": "127.0.0.1:7946", "seeds": ["127.0.0.2:7946", "nowhere"], "cluster_keys": ["short"]},
		  "platform": {"timeout_ms": -1}, "log": {"level": "loud", "JSON": true}, "limits": {"body_bytes": 1.5}
		}`))
		findings, ok := err.(workspace.Findings)
		So(ok, ShouldBeTrue)
		reportedPaths := map[string]bool{}
		for _, f := range findings {
			So(f.File, ShouldEqual, "bad.json")
			So(f.Reason, ShouldNotBeEmpty)
			reportedPaths[f.Path] = true
		}
		for _, path := range []string{
			"name", "region", "availability_zone", "listen", "colour", "peer.seeds[1]", "peer.cluster_keys[0]", "log.JSON",
			"platform.address", "platform.timeout_ms", "log.level", "limits.body_bytes",
		} {
			So(reportedPaths, ShouldContainKey, path)
		}
		So(len(reportedPaths), ShouldEqual, 12)
	})
	Convey("An unknown field alone makes a file invalid", t, func() {
		_, err := settings.Parse[Settings]("odd.json", []byte(strings.Replace(goodSettings, `"region"`, `"colour": 1, "region"`, 1)))
		findings, ok := err.(workspace.Findings)
		So(ok, ShouldBeTrue)
		So(findings, ShouldHaveLength, 1)
		So(findings[0].Path, ShouldEqual, "colour")
		So(findings[0].Warning, ShouldBeFalse)
	})
	Convey("A file that is not JSON has one finding", t, func() {
		_, err := settings.Parse[Settings]("bad.json", []byte(`{"name": `))
		findings, ok := err.(workspace.Findings)
		So(ok, ShouldBeTrue)
		So(len(findings), ShouldEqual, 1)
	})
}

func TestSettingsPageListsEverySetting(t *testing.T) {
	Convey("The settings page names each setting", t, func() {
		page, err := os.ReadFile("../../docs/operators/settings.md")
		So(err, ShouldBeNil)
		var paths func(prefix string, t reflect.Type) []string
		paths = func(prefix string, t reflect.Type) (out []string) {
			for i := range t.NumField() {
				f := t.Field(i)
				name := prefix + f.Tag.Get("json")
				if f.Type.Kind() == reflect.Struct {
					out = append(out, paths(name+".", f.Type)...)
				} else {
					out = append(out, name)
				}
			}
			return out
		}
		all := paths("", reflect.TypeFor[Settings]())
		So(len(all), ShouldBeGreaterThan, 25)
		for _, path := range all {
			So(string(page), ShouldContainSubstring, "`"+path+"`")
		}
	})
}
