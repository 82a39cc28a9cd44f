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

// Symptom: good versions are rolled back, or bad ones promoted. Sequence: rollouts of each
// kind, one after the other. Cause: a test that is looked at again and again rejects by
// chance in the end, and one that waits for its sample comes too late.
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

// Symptom: a version that is bad under load alone is promoted. Sequence: a service has
// three servers; each new one gets a few canaries a second, and is well; then it gets its
// part of the whole traffic. Cause: nothing brought the new servers to the usual load before.
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
