package cli

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/internal/experiment"
	"github.com/lycheekeel/lycheekeel/rollout"
)

func TestRolloutFlagsAreChecked(t *testing.T) {
	Convey("All invalid flags are reported together", t, func() {
		valid := rolloutFlags{
			duration: time.Second, rates: []int{10}, runsPerCase: 1,
			setting: experiment.RolloutSetting{Bounds: rollout.Bounds{Share: 0.1}, Servers: 1},
		}
		So(valid.check(), ShouldBeNil)
		invalid := rolloutFlags{rates: []int{5, 0}}
		err := invalid.check()
		So(err, ShouldNotBeNil)
		for _, flag := range []string{"--rate", "--within", "--share", "--servers", "--played"} {
			So(err.Error(), ShouldContainSubstring, flag)
		}
		So(err.Error(), ShouldNotContainSubstring, "--slack")
	})
}
