package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"

	standin "github.com/lycheekeel/lycheekeel/internal/standin/engine"
	standinservice "github.com/lycheekeel/lycheekeel/internal/standin/service"
	"github.com/lycheekeel/lycheekeel/internal/testwait"
	"github.com/lycheekeel/lycheekeel/request"
)

// Guards against: services' replies take more memory than there is, or long ones that are read
// together keep each other from their end.
func TestRepliesTakeTheMemoryThatThereIs(t *testing.T) {
	const memory, calls = 8 << 20, 20
	const path = "/services/booking/search/x"
	for name, faults := range map[string]standinServiceFaults{"with": {}, "without": {Chunked: true}} {
		Convey("Long replies "+name+" a length come whole, and give back what they took", t, func() {
			r := newRig(t, standin.Options{}, Limits{BodyBytes: memory}, longSilence)
			r.service.SetFaults(faults)
			content := strings.Repeat("x", 300_000)
			var wg conc.WaitGroup
			for range calls {
				wg.Go(func() {
					resp, body := r.post(path, []byte(content))
					var echo standinservice.Echo
					if err := json.Unmarshal(body, &echo); resp.StatusCode != http.StatusOK || err != nil || echo.Body != content {
						t.Errorf("status %d, %d bytes: %v", resp.StatusCode, len(body), err)
					}
				})
			}
			wg.Wait()
			http.DefaultClient.CloseIdleConnections()
			testwait.Until(t, waitLimit, "all is given back", func() bool { return r.entry.account.Used() == 0 })
		})
	}
	Convey("Replies without end are lost, and then others come whole", t, func() {
		r := newRig(t, standin.Options{}, Limits{BodyBytes: memory}, longSilence)
		r.service.SetFaults(standinServiceFaults{Endless: true})
		var wg conc.WaitGroup
		codes := make([]string, calls)
		for i := range codes {
			wg.Go(func() {
				_, body := r.post(path, fmt.Appendf(nil, "call %d", i))
				codes[i], _ = refusalOf(body)
			})
		}
		wg.Wait()
		So(strings.ReplaceAll(strings.Join(codes, ""), string(request.ReasonAnswerIncomplete), ""), ShouldBeEmpty)
		r.service.SetFaults(standinServiceFaults{})
		resp, _ := r.post(path, []byte("after"))
		So(resp.StatusCode, ShouldEqual, http.StatusOK)
		http.DefaultClient.CloseIdleConnections()
		testwait.Until(t, waitLimit, "all is given back", func() bool { return r.entry.account.Used() == 0 })
	})
}
