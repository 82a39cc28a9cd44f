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

// overload grants n requests of the top tier of an amount each and refuses as many of
// tier 2, within a second.
func overload(l *Ledger, n int, amount float64) (now time.Time) {
	for i := range n {
		now = start.Add(time.Duration(i) * time.Second / time.Duration(n))
		l.RecordGrant(now, 0, amount)
		l.RecordRefusal(now, 2)
	}
	return now
}

func TestStarvedTiers(t *testing.T) {
	Convey("A tier of which nothing is refused is not starved, whoever else is", t, func() {
		l := New(testConfig)
		now := overload(l, 100, 1)
		So(l.IsStarved(now, 1), ShouldBeFalse)
		So(l.IsStarved(now, 2), ShouldBeTrue)
	})
	Convey("A starved tier saves up a bounded amount, and a larger one is granted on credit", t, func() {
		l := New(testConfig)
		now := overload(l, 100, 1)
		So(l.Allows(2, 1), ShouldBeTrue)
		So(l.Allows(2, 50), ShouldBeTrue)
		l.RecordOutOfTurn(now, 2, 50)
		So(l.Allows(2, 0.01), ShouldBeFalse)
		So(l.IsStarved(now, 2), ShouldBeFalse)
	})
	Convey("What starved tiers get follows what the others get", t, func() {
		l := New(testConfig)
		now := overload(l, 5, 1)
		So(l.Allows(2, 0.1), ShouldBeTrue)
		So(l.Allows(2, 0.6), ShouldBeFalse)
		So(l.IsStarved(now, 2), ShouldBeTrue)
	})
	Convey("A tier of cheap requests should be served more often than one of costly ones", t, func() {
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
	Convey("An overload is forgotten", t, func() {
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

// Guards against starved tiers that take more than their bound from those above them.
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
				// Each of three tiers may have one large request on credit.
				if outOfTurn > testConfig.MaxShare*inTurn+3*largest+1e-9 {
					t.Fatalf("%v out of turn beside %v in turn", outOfTurn, inTurn)
				}
			},
		})
	})
}
