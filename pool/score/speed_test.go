package score

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestSpeedIsLearnt(t *testing.T) {
	Convey("Predictions follow what is measured, not the prior", t, func() {
		s := NewSpeed(DefaultPrior())
		for i := range 200 {
			prefill := 100 + i%10*400
			s.ObserveFirst(prefill, time.Duration(50+prefill/5)*time.Millisecond, Prior{}, false)
			s.ObserveToken(1+i%16, time.Duration(20+i%16)*time.Millisecond, time.Duration(20+i%16)*time.Millisecond, Prior{})
		}
		So(s.FirstToken(2000), ShouldAlmostEqual, 450*time.Millisecond, 10*time.Millisecond)
		So(s.PrefillTime(1000), ShouldAlmostEqual, 200*time.Millisecond, 10*time.Millisecond)
		So(s.PerToken(9), ShouldAlmostEqual, 28*time.Millisecond, 2*time.Millisecond)
	})
}

// Guards against a server ten times slower than its peers that nothing tells of.
func TestStragglerIsJudgedByItsPeers(t *testing.T) {
	Convey("A few slow samples make a straggler, a few good ones bring it back", t, func() {
		peers, _ := Median([]*Speed{NewSpeed(DefaultPrior()), NewSpeed(DefaultPrior()), NewSpeed(DefaultPrior())})
		s := NewSpeed(DefaultPrior())
		slow := s.FirstToken(1000) * 10
		straggler := false
		for range slowSamples {
			s.ObserveFirst(1000, slow, peers, true)
			straggler = s.Straggler(straggler)
		}
		So(straggler, ShouldBeTrue)
		for range 5 {
			s.ObserveToken(8, 12*time.Millisecond, 12*time.Millisecond, peers)
			straggler = s.Straggler(straggler)
		}
		So(straggler, ShouldBeFalse)
	})
	Convey("A server without peers is judged by its own past", t, func() {
		s := NewSpeed(DefaultPrior())
		for range 100 { // ten times slower than the prior from the start
			s.ObserveFirst(0, 200*time.Millisecond, Prior{}, false)
			s.Settle()
		}
		So(s.Straggler(false), ShouldBeFalse)
		for range slowSamples + 1 {
			s.Overdue(0, 2*time.Second, Prior{})
		}
		So(s.Straggler(false), ShouldBeTrue)
	})
	Convey("A slower generation alone makes no straggler", t, func() {
		old := make([]*Speed, 3)
		for i := range old {
			old[i] = NewSpeed(Prior{FirstFew: 0.2, FirstMany: 4, TokenFew: 0.1, TokenMany: 0.16})
		}
		peers, _ := Median(old)
		for range 10 {
			old[0].ObserveFirst(1000, 1150*time.Millisecond, peers, false)
		}
		So(old[0].Straggler(false), ShouldBeFalse)
	})
}
