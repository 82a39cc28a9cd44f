package experiment

import (
	"testing"
	"time"

	"github.com/lycheekeel/lycheekeel/rollout"
)

// rolloutSetting is a service of 20 servers whose old version fails one answer in 100.
var rolloutSetting = RolloutSetting{
	Duration: 12 * time.Second, Bounds: rollout.Bounds{Share: 0.1, Slack: 50}, OldFails: 0.01, Servers: 20,
}

// Symptom: good versions are taken back, or bad ones taken. Sequence: rollouts of each
// kind, one after the other. Cause: a test that is looked at again and again convicts by
// chance in the end, and one that waits for its sample comes too late.
func TestRolloutsOfGoodAndBadVersions(t *testing.T) {
	const played = 60
	for _, rate := range []int{100, 600} {
		for _, c := range RolloutCases(rate) {
			o := PlayRollouts(rolloutSetting, c, played, 7)
			good, mild := c.Fails == 0 && (c.Slow == 0 || c.SlowServer), c.Fails > 0 && c.Fails < 0.2
			switch {
			case good && o.TakenBack > 0:
				t.Errorf("good version taken back: %s", o.Line())
			case !good && !mild && o.TakenBack < played*9/10:
				t.Errorf("bad version taken: %s", o.Line())
			case float64(o.MostExposed) > o.Bound:
				t.Errorf("beyond the bound: %s", o.Line())
			}
		}
	}
}
