package broker

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/lycheekeel/lycheekeel/request"
)

func TestEventsForTheOwner(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	spec := &request.Spec{
		ID: "r", Workspace: "w", Template: "t", Model: "m", Tier: 2, Targets: request.Targets{FirstToken: time.Second, Deadline: time.Minute},
		PromptTokens: 100, MaxTokens: 400, ExpectedTokens: 150, Fingerprint: 9, Received: now.Add(-100 * time.Millisecond),
	}
	Convey("The event of a waiting request holds all that its scheduling depends on", t, func() {
		w := newWaiter(Demand{Spec: spec, MaxWaiting: 7, SentTo: []string{"s1"}})
		So(w.enqueueEvent(now), ShouldResemble, pool.Enqueue{
			Request: "r", Workspace: "w", Template: "t", Model: "m", Tier: 2, Waited: 100 * time.Millisecond,
			FirstTokenIn: 900 * time.Millisecond, DeadlineIn: time.Minute - 100*time.Millisecond,
			PromptTokens: 100, MaxTokens: 400, ExpectedTokens: 150, Fingerprint: 9, MaxWaiting: 7,
			SentTo: []string{"s1"}, NoRedirect: true,
		})
	})
	Convey("So does the event of a running request for a new owner", t, func() {
		running := &grant{spec: spec, id: pool.GrantID{Epoch: 1, Seq: 2}}
		running.server.Name = "s1"
		running.tokens.Store(30)
		So(running.runningEvent(), ShouldResemble, pool.Running{
			Request: "r", Grant: pool.GrantID{Epoch: 1, Seq: 2}, Server: "s1", Workspace: "w", Template: "t", Model: "m", Tier: 2,
			Fingerprint: 9, PromptTokens: 100, MaxTokens: 400, ExpectedTokens: 150, Tokens: 30,
		})
	})
}
