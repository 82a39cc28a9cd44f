package experiment

import (
	"testing"
	"time"

	"github.com/lycheekeel/lycheekeel/rollout"
)

// rolloutSetting is a service of 20 servers whose stable version fails one answer in 100.
var rolloutSetting = RolloutSetting{
	Duration: 12 * time.Second, Bounds: rollout.Bounds{Share: 0.1, Slack: 50}, StableFails: 0.01, Servers: 20,
}

// Guards against this: good versions are rolled back, or bad ones promoted.
func TestRolloutsOfGoodAndBadVersions(t *testing.T) {
	const played = 60
	for _, rate := range []int{100, 600} {
		for _, c := range RolloutCases(rate) {
			o := PlayRollouts(rolloutSetting, c, played, 7)
			good, mild := c.Fails == 0 && (c.Slow == 0 || c.SlowServer), c.Fails > 0 && c.Fails < 0.2
			switch {
			case good && o.RolledBack > 0:
				t.Errorf("good version rolled back: %s", o.Line())
			case !good && !mild && o.RolledBack < played*9/10:
				t.Errorf("bad version promoted: %s", o.Line())
			case float64(o.MostExposed) > o.Bound:
				t.Errorf("beyond the bound: %s", o.Line())
			}
		}
	}
}

// Guards against this: a version that is bad under load alone is promoted.
func TestAVersionThatIsBadUnderLoadIsFound(t *testing.T) {
	const played = 40
	s := rolloutSetting
	s.Servers, s.Duration = 3, 40*time.Second
	c := RolloutCase{Name: "fails 50% under load", Rate: 180, Fails: 0.5, UnderLoad: true}
	o := PlayRollouts(s, c, played, 3)
	if o.RolledBack < played || o.After > s.Duration*2/3 || float64(o.MostExposed) > o.Bound {
		t.Errorf("%s", o.Line())
	}
}
