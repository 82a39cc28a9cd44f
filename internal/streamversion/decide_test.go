package streamversion

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// interval is the presence of a version, in seconds.
type interval struct{ from, to int }

const modelGap, modelLife, modelTakeUp = 3, 20, 60

// modelRounds is how often all of rapid's checks are made: the cases that matter are rare.
const modelRounds = 100

// drawEvidence draws when a daemon's list of servers was proved, and returns what it knows then.
func drawEvidence(t *rapid.T, versions map[string]interval) evidence {
	taken := modelTakeUp + rapid.IntRange(-2, 4).Draw(t, "evidence taken")
	last := modelTakeUp - modelLife + rapid.SampledFrom([]int{-9, -1, 0, 1, 1, 2, 2, 3, 10, 21}).Draw(t, "first proof")
	cutOff := min(taken, modelTakeUp+rapid.SampledFrom([]int{-12, -8, -3, -1, 4, 4, 4}).Draw(t, "cut off"))
	e, since := evidence{proved: true}, last
	for at := last; at <= cutOff; at += rapid.SampledFrom([]int{1, 2, 2, 3, 3, 3, 3, 3, 3, 3, 3, 5}).Draw(t, "next proof after") {
		if at-last > modelGap {
			since = at
		}
		last = at
		for v, x := range versions {
			if x.from <= at && at < x.to && !slices.Contains(e.versions, v) {
				e.versions = append(e.versions, v)
			}
		}
	}
	if last > cutOff {
		return evidence{}
	}
	e.observedFor, e.proofAge = time.Duration(taken-since)*time.Second, time.Duration(taken-last)*time.Second
	before, after := rapid.IntRange(0, 2).Draw(t, "way there"), rapid.IntRange(0, 2).Draw(t, "way back")
	e.observe(time.Duration(taken-modelTakeUp-before)*time.Second, time.Duration(taken-modelTakeUp+after)*time.Second)
	return e
}

// Guards against: a stream goes on at the only version that daemons know, though another one can
// have begun it, whatever joins or leaves and whoever is cut off.
func TestNoOtherVersionCanHaveBegunTheStream(t *testing.T) {
	proved := 0
	check := func(t *rapid.T) {
		versions := map[string]interval{"v0": {-10, rapid.IntRange(0, 90).Draw(t, "v0 leaves")}}
		for i := range rapid.IntRange(0, 2).Draw(t, "other versions") {
			from := rapid.IntRange(modelTakeUp-modelLife-10, modelTakeUp).Draw(t, "joins")
			versions[fmt.Sprint("v", i+1)] = interval{from, from + modelGap + rapid.SampledFrom([]int{0, 0, 1, 5, 50}).Draw(t, "stays")}
		}
		all := make([]evidence, rapid.IntRange(1, 4).Draw(t, "daemons"))
		for i := range all {
			all[i] = drawEvidence(t, versions)
		}
		version, v := decide(all, modelLife*time.Second)
		if v != sole {
			return
		}
		proved++
		for other, x := range versions {
			if other != version && x.from <= modelTakeUp && x.to > modelTakeUp-modelLife {
				t.Fatalf("%s is taken for the only version, but %s was there from %d to %d: %+v", version, other, x.from, x.to, all)
			}
		}
	}
	for range modelRounds {
		rapid.Check(t, check)
	}
	if proved == 0 && !t.Failed() {
		t.Error("no version was ever proved to be the only one")
	}
}
