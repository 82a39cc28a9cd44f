package load

import (
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/engine"
	"github.com/lycheekeel/lycheekeel/workspace"
)

func testMix() *Mix {
	return &Mix{
		Name:  "test",
		Tiers: map[string]Targets{"urgent": {FirstTokenMs: 100, PerTokenMs: 10, DeadlineMs: 1000}},
		Classes: []Class{{
			Name: "tag", Workspace: "w", Model: "m", Tier: "urgent", Rate: 50,
			PromptTokens: LengthDistribution{Median: 100, Sigma: 1.5, Min: 4, Max: 4000},
			OutputTokens: LengthDistribution{Median: 20, Sigma: 0.5, Min: 8, Max: 100},
			Prefix:       &Prefix{Count: 3, Tokens: 128, Share: 0.5},
			Bursts:       []Burst{{StartMs: 4000, DurationMs: 2000, Factor: 5}},
			StreamShare:  0.5,
		}},
	}
}

func TestArrivals(t *testing.T) {
	Convey("The same seed gives the same arrivals and texts, another seed other arrivals", t, func() {
		m := testMix()
		a, b, c := Arrivals(m, 7, 10*time.Second), Arrivals(m, 7, 10*time.Second), Arrivals(m, 8, 10*time.Second)
		So(a, ShouldResemble, b)
		So(a, ShouldNotResemble, c)
		s1, u1, w1 := a[3].Texts()
		s2, u2, w2 := b[3].Texts()
		So([]string{s1, u1, w1}, ShouldResemble, []string{s2, u2, w2})
	})
	Convey("A class's arrivals do not depend on the other classes", t, func() {
		m := testMix()
		alone := Arrivals(m, 7, time.Second)
		other := m.Classes[0]
		other.Name = "other"
		m.Classes = append(m.Classes, other)
		var same []time.Duration
		for _, a := range Arrivals(m, 7, time.Second) {
			if a.Class.Name == "tag" {
				same = append(same, a.At)
			}
		}
		So(len(same), ShouldEqual, len(alone))
		for i := range same {
			So(same[i], ShouldEqual, alone[i].At)
		}
	})
	Convey("A burst multiplies the rate, and lengths spread over two orders of magnitude", t, func() {
		var inBurst, before, shortest, longest int
		shortest = 1 << 30
		for _, a := range Arrivals(testMix(), 1, 10*time.Second) {
			switch {
			case a.At < 2*time.Second:
				before++
			case a.At >= 4*time.Second && a.At < 6*time.Second:
				inBurst++
			}
			shortest, longest = min(shortest, a.PromptTokens), max(longest, a.PromptTokens)
		}
		So(inBurst, ShouldBeBetween, 4*before, 6*before)
		So(longest, ShouldBeGreaterThan, 100*shortest)
	})
	Convey("Prompts have the drawn length, and shared prefixes share their text", t, func() {
		byPrefix := map[int]string{}
		for _, a := range Arrivals(testMix(), 1, 2*time.Second) {
			system, user, answer := a.Texts()
			So(user, ShouldEqual, echoPrefix+answer)
			want := max(a.PromptTokens, engine.EstimateTokens(user))
			So(engine.EstimateTokens(system+user), ShouldBeBetween, want-2, want+2+128)
			if a.Prefix >= 0 {
				head := system[:128*engine.BytesPerToken]
				if known, ok := byPrefix[a.Prefix]; ok {
					So(head == known, ShouldBeTrue)
				}
				byPrefix[a.Prefix] = head
			}
		}
		So(len(byPrefix), ShouldEqual, 3)
	})
}

func TestParseMixFindings(t *testing.T) {
	Convey("All errors of a mix are reported at once, each with its JSON path", t, func() {
		_, err := ParseMix("mix.json", []byte(`{
			"name": "x", "colour": 1,
			"tiers": {"urgent": {"priority": 0, "first_token_ms": -5, "deadline_ms": 1000}},
			"classes": [{"name": "a", "workspace": "w", "model": "", "tier": "none", "rate": 0, "stream_share": 2,
				"prompt_tokens": {"median": 5, "sigma": 1, "min": 10, "max": 20},
				"output_tokens": {"median": 5, "sigma": 1, "min": 1, "max": 20}, "max_tokens": 10,
				"leave_share": 0.1, "bursts": [{"at_ms": -1, "for_ms": 0, "factor": 2}]}]}`))
		var f workspace.Findings
		So(errors.As(err, &f), ShouldBeTrue)
		paths := map[string]bool{}
		for _, x := range f {
			paths[x.Path] = true
			So(x.Warning, ShouldBeFalse)
		}
		for _, want := range []string{
			"colour", "tiers.urgent.first_token_ms", "classes[0].model", "classes[0].tier", "classes[0].rate",
			"classes[0].stream_share", "classes[0].prompt_tokens.median", "classes[0].output_tokens.max",
			"classes[0].leave_after_ms", "classes[0].bursts[0]",
		} {
			So(paths, ShouldContainKey, want)
		}
		So(len(f), ShouldEqual, 10)
	})
}

// Guards against a misrouted, truncated or duplicated answer that the load tool counts
// as complete.
func TestAttemptOutcome(t *testing.T) {
	event := func(text string) string { return `data: {"choices":[{"delta":{"content":"` + text + `"}}]}` + "\n\n" }
	const end = `data: {"choices":[{"delta":{},"finish_reason":"stop"}]}` + "\n\ndata: [DONE]\n\n"
	Convey("Each kind of invalid answer gets its own outcome", t, func() {
		for _, x := range []struct {
			stream string
			want   Outcome
		}{
			{event("<a-1> one ") + event("two") + end, OutcomeComplete},
			{": keepalive\n\n" + event("<a-1> one two") + end, OutcomeComplete},
			{event("<a-1> one two"), OutcomeTruncated},
			{event("<a-1> one two") + `data: {"choices":[{"delta":{},"finish_reason":"stop"}]}` + "\n\n", OutcomeTruncated},
			{event("<b-2> one two") + end, OutcomeMisrouted},
			{event("<a-1> one") + end, OutcomeWrong},
			{event("<a-1> one two") + end + event("<a-1> one two") + end, OutcomeDuplicated},
			{event("<a-1> one ") + `data: {"error":{"code":"engine_lost","not_run":false}}` + "\n\n" + end, OutcomeFailed},
			{event("<a-1> one ") + `data: {"error":{"message":"no code"}}` + "\n\n" + end, OutcomeTruncated},
		} {
			k := call{wantText: "<a-1> one two", arrival: &Arrival{Stream: true}, start: time.Now()}
			k.attempt.Status = 200
			err := k.readEvents(strings.NewReader(x.stream))
			So(k.outcome(err), ShouldEqual, x.want)
		}
	})
	Convey("An error status without a typed reason is not a refusal", t, func() {
		k := call{arrival: &Arrival{}, attempt: Attempt{Status: 500}}
		So(k.outcome(nil), ShouldEqual, OutcomeNoAnswer)
		k.attempt.Reason = "shed"
		So(k.outcome(nil), ShouldEqual, OutcomeRefused)
		So(k.outcome(errors.New("broken")), ShouldEqual, OutcomeTruncated)
	})
	Convey("An answer that its caller ended does not count as truncated, or as missing if the caller intended it", t, func() {
		So(endedByCaller(OutcomeTruncated, false, true), ShouldEqual, OutcomeTruncated)
		So(endedByCaller(OutcomeTruncated, true, false), ShouldEqual, OutcomeTooLate)
		So(endedByCaller(OutcomeNoAnswer, true, false), ShouldEqual, OutcomeNoAnswer)
		So(endedByCaller(OutcomeNoAnswer, true, true), ShouldEqual, OutcomeDisconnected)
		So(endedByCaller(OutcomeComplete, true, true), ShouldEqual, OutcomeComplete)
	})
}

func TestGoodput(t *testing.T) {
	Convey("Goodput counts complete answers within all targets and excludes callers that disconnected", t, func() {
		m := testMix()
		a := &Arrival{Class: &m.Classes[0], Stream: true}
		ms := time.Millisecond
		resultOf := func(e Outcome, first, total time.Duration) Result {
			return Result{Arrival: a, Attempts: []Attempt{{Outcome: e, FirstToken: first, Total: total, Tokens: 11, Reason: map[Outcome]string{OutcomeRefused: "shed"}[e]}}}
		}
		rep := Summarize(m, 1, time.Second, []Result{
			resultOf(OutcomeComplete, 50*ms, 140*ms), resultOf(OutcomeComplete, 101*ms, 140*ms), resultOf(OutcomeComplete, 50*ms, 160*ms),
			resultOf(OutcomeRefused, 0, ms), resultOf(OutcomeDisconnected, 0, ms), resultOf(OutcomeTruncated, 10*ms, 20*ms),
		})
		So(rep.Tiers[0].Offered, ShouldEqual, 5)
		So(rep.Tiers[0].Disconnected, ShouldEqual, 1)
		So(rep.Tiers[0].Good, ShouldEqual, 1)
		So(rep.Tiers[0].Goodput, ShouldEqual, 0.2)
		So(rep.Tiers[0].Missed, ShouldResemble, map[Miss]int{MissIncomplete: 2, MissFirstToken: 1, MissPerToken: 1})
		So(rep.Refusals["shed"], ShouldEqual, 1)
		So(rep.NoRetryAfter, ShouldEqual, 1)
		So(rep.InvalidOutcomes(), ShouldEqual, 1)
	})
}
