package experiment

import (
	"testing"
	"time"

	"github.com/lycheekeel/lycheekeel/rollout"
)

// rolloutSetting is a service of 20 servers whose stable version fails one answer in 100.
var rolloutSetting = RolloutSetting{
	Duration: 12 * time.Second, Bounds: rollout.Bounds{Share: 0.1, Slack: 50}, StableFailureShare: 0.01, Servers: 20,
}

// Guards against rollbacks of good versions and promotions of bad ones.
func TestRolloutDecisions(t *testing.T) {
	const played = 60
	for _, rate := range []int{100, 600} {
		for _, c := range RolloutCases(rate) {
			o := SimulateRollouts(rolloutSetting, c, played, 7)
			good, mild := c.FailureShare == 0 && (c.SlowShare == 0 || c.SlowServer), c.FailureShare > 0 && c.FailureShare < 0.2
			switch {
			case good && o.RolledBack > 0:
				t.Errorf("good version rolled back: %s", o.Line())
			case !good && !mild && o.RolledBack < played*9/10:
				t.Errorf("bad version promoted: %s", o.Line())
			case float64(o.MaxExposed) > o.Bound:
				t.Errorf("bound exceeded: %s", o.Line())
			}
		}
	}
}

// Guards against the promotion of a version that fails only under load.
func TestRollbackOfVersionBadUnderLoad(t *testing.T) {
	const played = 40
	s := rolloutSetting
	s.Servers, s.Duration = 3, 40*time.Second
	c := RolloutCase{Name: "fails 50% under load", Rate: 180, FailureShare: 0.5, UnderLoad: true}
	o := SimulateRollouts(s, c, played, 3)
	if o.RolledBack < played || o.MeanTimeToRollback > s.Duration*2/3 || float64(o.MaxExposed) > o.Bound {
		t.Errorf("version that fails under load not rolled back in time or within the bound: %s", o.Line())
	}
}
