package gateway

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/workspace"
)

func load(t *testing.T, text string) (Settings, error) {
	file := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return LoadSettings(file)
}

// Guards against a bound in the settings file that is ignored without an error.
func TestSettings(t *testing.T) {
	Convey("Valid settings are read, with defaults for omitted ones", t, func() {
		s, err := load(t, `{"name": "a", "region": "r", "availability_zone": "z", "listen": "127.0.0.1:1", "readiness": "127.0.0.1:2",
			"peer": "127.0.0.1:3", "seeds": ["127.0.0.1:3"], "metrics": "127.0.0.1:9464", "store": "127.0.0.1:4",
			"limits": {"memory_mb": 184, "cpu_cores": 0.192, "link_mbps": 10.0, "descriptors": 4100},
			"bounds": {"grace_s": 8, "revoke_ms": 5000, "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 184,
				"quota_window_s": 8, "quota_over": 0.1, "quota_slack": 140000}}`)
		So(err, ShouldBeNil)
		So(s.LogLevel, ShouldEqual, "info")
		So(s.PeerAddress, ShouldEqual, "127.0.0.1:3")
		So(s.Limits.maxConnections(), ShouldEqual, 2870)
		So(s.Scheduling, ShouldResemble, SchedulingSettings{MixedTargets: "auto", BriefCalls: "auto"})
	})
	Convey("Each value of the scheduling settings is read, and any other is a finding", t, func() {
		scheduling := func(object string) (SchedulingSettings, []string) {
			s, err := load(t, `{"name": "a", "region": "r", "availability_zone": "z", "listen": "127.0.0.1:1", "readiness": "127.0.0.1:2",
				"peer": "127.0.0.1:3", "store": "127.0.0.1:4", "limits": {"memory_mb": 184},
				"bounds": {"grace_s": 8, "revoke_ms": 5000, "retry_window_s": 10}, "scheduling": `+object+`}`)
			findings, _ := err.(workspace.Findings)
			var paths []string
			for _, f := range findings {
				paths = append(paths, f.Path)
			}
			return s.Scheduling, paths
		}
		for _, value := range []string{"auto", "on", "off"} {
			s, paths := scheduling(`{"mixed_targets": "` + value + `", "brief_calls": "` + value + `"}`)
			So(paths, ShouldBeEmpty)
			So(s, ShouldResemble, SchedulingSettings{MixedTargets: value, BriefCalls: value})
		}
		s, paths := scheduling(`{"brief_calls": "off"}`)
		So(paths, ShouldBeEmpty)
		So(s, ShouldResemble, SchedulingSettings{MixedTargets: "auto", BriefCalls: "off"})
		_, paths = scheduling(`{"mixed_targets": "yes", "brief_calls": true, "late": "on"}`)
		So(len(paths), ShouldEqual, 3)
		for _, path := range []string{"scheduling.mixed_targets", "scheduling.brief_calls", "scheduling.late"} {
			So(paths, ShouldContain, path)
		}
	})
	Convey("Callers' connections are bounded by the descriptors and the memory", t, func() {
		So(LimitSettings{MemoryMB: 536, Descriptors: 8192}.maxConnections(), ShouldEqual, 5734)
		So(LimitSettings{MemoryMB: 64, Descriptors: 8192}.maxConnections(), ShouldEqual, 1171)
		So(LimitSettings{MemoryMB: 64}.maxConnections(), ShouldEqual, 0)
	})
	Convey("All findings are returned together, with their paths", t, func() {
		_, err := load(t, `{"name": "a", "region": "r", "availability_zone": "z", "listen": "nowhere", "readiness": "127.0.0.1:2",
			"peer": "127.0.0.1:3", "store": "127.0.0.1:4", "colour": "red",
			"limits": {"memory_mb": 1}, "bounds": {"grace_s": 0, "revoke": 5000, "retry_ratio": 2, "retry_window_s": 10}}`)
		findings, ok := err.(workspace.Findings)
		So(ok, ShouldBeTrue)
		places := map[string]bool{}
		for _, f := range findings {
			So(f.Reason, ShouldNotBeEmpty)
			places[f.Path] = true
		}
		So(places, ShouldResemble, map[string]bool{
			"listen": true, "colour": true, "limits.memory_mb": true, "bounds.grace_s": true,
			"bounds.revoke": true, "bounds.revoke_ms": true, "bounds.retry_ratio": true,
		})
	})
}
