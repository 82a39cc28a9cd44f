package fairshare

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/lycheekeel/lycheekeel/request"
)

var (
	start      = time.Unix(1000, 0)
	testConfig = Config{MinRatioCheap: 0.6, MinRatioCostly: 0.3, MaxShare: 0.1, MaxCredit: 1, Window: 10 * time.Second}
)

// overload grants n requests of the top tier, of the given amount each, and refuses n
// requests of tier 2, within a second.
func overload(l *Ledger, n int, amount float64) (now time.Time) {
	for i := range n {
		now = start.Add(time.Duration(i) * time.Second / time.Duration(n))
		l.RecordGrant(now, 0, amount)
		l.RecordRefusal(now, 2)
	}
	return now
}

func TestStarvedTiers(t *testing.T) {
	Convey("A tier without refusals is not starved, even if another one is", t, func() {
		l := New(testConfig)
		now := overload(l, 100, 1)
		So(l.IsStarved(now, 1), ShouldBeFalse)
		So(l.IsStarved(now, 2), ShouldBeTrue)
	})
	Convey("The credit of a starved tier is bounded, and a larger amount may overdraw it", t, func() {
		l := New(testConfig)
		now := overload(l, 100, 1)
		So(l.Allows(2, 1), ShouldBeTrue)
		So(l.Allows(2, 50), ShouldBeTrue)
		l.RecordOutOfTurn(now, 2, 50)
		So(l.Allows(2, 0.01), ShouldBeFalse)
		So(l.IsStarved(now, 2), ShouldBeFalse)
	})
	Convey("The credit of starved tiers is proportional to what the others are granted", t, func() {
		l := New(testConfig)
		now := overload(l, 5, 1)
		So(l.Allows(2, 0.1), ShouldBeTrue)
		So(l.Allows(2, 0.6), ShouldBeFalse)
		So(l.IsStarved(now, 2), ShouldBeTrue)
	})
	Convey("The minimum grant ratio is higher for cheap requests than for costly ones", t, func() {
		isStarved := func(amount float64) (starved bool) {
			l := New(testConfig)
			now := start
			for range 100 {
				now = now.Add(10 * time.Millisecond)
				l.RecordGrant(now, 0, 1)
				l.RecordRefusal(now, 0)
				l.RecordRefusal(now, 2)
			}
			for range 25 {
				l.RecordOutOfTurn(now, 2, amount)
			}
			return l.deficit(now, 2) > 0
		}
		So(isStarved(0.01), ShouldBeTrue)
		So(isStarved(1), ShouldBeFalse)
	})
	Convey("The effect of an overload decays", t, func() {
		l := New(testConfig)
		now := overload(l, 100, 1).Add(5 * time.Minute)
		So(l.IsStarved(now, 2), ShouldBeFalse)
		for range 100 {
			l.RecordGrant(now, 0, 1)
			l.RecordGrant(now, 2, 1)
		}
		So(l.IsStarved(now, 2), ShouldBeFalse)
	})
}

// Guards against starved tiers that take more than MaxShare from the tiers above them.
func TestOutOfTurnGrantsStayWithinTheirBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, now := New(testConfig), start
		inTurn, largest := 0.0, 0.0
		var outOfTurn float64
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			},
			"grant": func(t *rapid.T) {
				amount := rapid.Float64Range(0, 3).Draw(t, "amount")
				inTurn += amount
				l.RecordGrant(now, request.Tier(rapid.IntRange(0, 3).Draw(t, "tier")), amount)
			},
			"refuse": func(t *rapid.T) { l.RecordRefusal(now, request.Tier(rapid.IntRange(0, 3).Draw(t, "tier"))) },
			"starved": func(t *rapid.T) {
				tier, amount := request.Tier(rapid.IntRange(1, 3).Draw(t, "tier")), rapid.Float64Range(0, 3).Draw(t, "amount")
				if l.IsStarved(now, tier) && l.Allows(tier, amount) {
					l.RecordOutOfTurn(now, tier, amount)
					outOfTurn, largest = outOfTurn+amount, max(largest, amount)
				}
			},
			"": func(t *rapid.T) {
				// Each of three tiers may overdraw its credit by one large request.
				if outOfTurn > testConfig.MaxShare*inTurn+3*largest+1e-9 {
					t.Fatalf("%v granted out of turn, %v in turn", outOfTurn, inTurn)
				}
			},
		})
	})
}
