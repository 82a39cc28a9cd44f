package score

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestPredictionsFollowMeasurements(t *testing.T) {
	Convey("Predictions follow the measurements, not the initial profile", t, func() {
		s := NewLatencyModel(DefaultProfile())
		for i := range 200 {
			prefill := 100 + i%10*400
			s.ObserveFirstToken(prefill, time.Duration(50+prefill/5)*time.Millisecond, Profile{}, false)
			s.ObservePerToken(1+i%16, time.Duration(20+i%16)*time.Millisecond, time.Duration(20+i%16)*time.Millisecond, Profile{})
		}
		So(s.FirstToken(2000), ShouldAlmostEqual, 450*time.Millisecond, 10*time.Millisecond)
		So(s.PrefillTime(1000), ShouldAlmostEqual, 200*time.Millisecond, 10*time.Millisecond)
		So(s.PerToken(9), ShouldAlmostEqual, 28*time.Millisecond, 2*time.Millisecond)
	})
}

// Guards against a server that is ten times slower than its peers and goes unnoticed.
func TestStragglerRelativeToPeers(t *testing.T) {
	Convey("A few slow samples make a straggler, and a few normal ones end the state", t, func() {
		peers, _ := Median([]*LatencyModel{NewLatencyModel(DefaultProfile()), NewLatencyModel(DefaultProfile()), NewLatencyModel(DefaultProfile())})
		s := NewLatencyModel(DefaultProfile())
		slowTTFT := s.FirstToken(1000) * 10
		straggler := false
		for range minSlowdownSamples {
			s.ObserveFirstToken(1000, slowTTFT, peers, true)
			straggler = s.Straggler(straggler)
		}
		So(straggler, ShouldBeTrue)
		for range 5 {
			s.ObservePerToken(8, 12*time.Millisecond, 12*time.Millisecond, peers)
			straggler = s.Straggler(straggler)
		}
		So(straggler, ShouldBeFalse)
	})
	Convey("A server without peers is compared to its own baseline", t, func() {
		s := NewLatencyModel(DefaultProfile())
		for range 100 { // ten times slower than the initial profile from the start
			s.ObserveFirstToken(0, 200*time.Millisecond, Profile{}, false)
			s.UpdateBaseline()
		}
		So(s.Straggler(false), ShouldBeFalse)
		for range minSlowdownSamples + 1 {
			s.ObserveOverdue(0, 2*time.Second, Profile{})
		}
		So(s.Straggler(false), ShouldBeTrue)
	})
	Convey("A server of a slower generation is not a straggler among its peers", t, func() {
		old := make([]*LatencyModel, 3)
		for i := range old {
			old[i] = NewLatencyModel(Profile{FirstTokenLow: 0.2, FirstTokenHigh: 4, PerTokenLow: 0.1, PerTokenHigh: 0.16})
		}
		peers, _ := Median(old)
		for range 10 {
			old[0].ObserveFirstToken(1000, 1150*time.Millisecond, peers, false)
		}
		So(old[0].Straggler(false), ShouldBeFalse)
	})
}
