package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// testTimeout only ends a test that hangs.
const testTimeout = 60 * time.Second

func TestDemo(t *testing.T) {
	Convey("A demonstration answers requests of every workspace and stops without an error", t, func() {
		ctx, stop := context.WithTimeout(context.Background(), testTimeout)
		defer stop()
		infos, runErr := make(chan Info, 1), make(chan error, 1)
		go func() {
			runErr <- Run(ctx, Options{Listen: anyPort, Admin: anyPort}, func(i Info) { infos <- i })
		}()
		var info Info
		select {
		case info = <-infos:
		case err := <-runErr:
			t.Fatalf("demonstration ended before it was ready: %v", err)
		}
		So(len(info.Keys), ShouldEqual, 10)
		So(len(info.Engines), ShouldEqual, len(engineSpecs()))
		for workspace, key := range info.Keys {
			answered := false
			for _, model := range info.Models {
				text := "echo:" + workspace + " asks " + model
				body := fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":%q}]}`, model, text)
				req, err := http.NewRequest(http.MethodPost, "http://"+info.Listen+"/v1/chat/completions", strings.NewReader(body))
				So(err, ShouldBeNil)
				req.Header.Set("Authorization", "Bearer "+key)
				resp, err := http.DefaultClient.Do(req)
				So(err, ShouldBeNil)
				answer, err := io.ReadAll(resp.Body)
				So(err, ShouldBeNil)
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					answered = true
					So(string(answer), ShouldContainSubstring, strings.TrimPrefix(text, "echo:"))
				} else {
					So(string(answer), ShouldContainSubstring, `"unknown_model"`)
				}
			}
			So(answered, ShouldBeTrue)
		}
		stop()
		So(<-runErr, ShouldBeNil)
	})
}
