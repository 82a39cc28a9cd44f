package gateway

import (
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/internal/metrics"
)

func TestLatenciesAreServed(t *testing.T) {
	Convey("The metrics include the latencies of lists and polls and the age of proofs", t, func() {
		m := metrics.New()
		l := newLatencies(m)
		l.storeList.Observe(4 * time.Millisecond)
		l.peerPoll.Observe(2 * time.Millisecond)
		l.proofAge.Observe(900 * time.Millisecond)
		var text strings.Builder
		m.WriteText(&text)
		for _, name := range []string{"store_list", "peer_ask", "proof_age"} {
			So(text.String(), ShouldContainSubstring, name)
		}
	})
}
