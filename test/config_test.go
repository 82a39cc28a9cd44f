package test

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/lycheekeel/lycheekeel/workspace"
)

// testDeadlineMs is the deadline of every tier, in milliseconds.
const testDeadlineMs = 30_000

// testTemplate returns a template with four tiers, one model, and a plain
// service whose POSTs under /dispatch/ are not idempotent.
func testTemplate() workspace.Template {
	number := func(v int64) workspace.Number { return workspace.Number{Value: v} }
	t := workspace.Template{
		Name: "snagging", DefaultTier: "report", AllowTierHeader: true, AllowDeadlineHeader: true,
		MaxTokens: number(4096), MaxBodyBytes: number(1 << 20),
		Models: []workspace.ModelSpec{{Name: testModel, Version: "v1"}},
		Services: []workspace.ServiceSpec{{Name: testService, Pool: testService, Rules: []workspace.ServiceRule{
			{Method: "POST", Path: "/dispatch/**", Idempotent: false},
			{Method: "*", Path: "/**", Idempotent: true},
		}}},
	}
	for i, name := range []string{"handover", "report", "summary", "tag"} {
		t.Tiers = append(t.Tiers, workspace.TierSpec{
			Name: name, Priority: i, FirstTokenMs: number(1200), PerTokenMs: number(62), DeadlineMs: number(testDeadlineMs),
		})
	}
	return t
}

func testWorkspace() workspace.Workspace {
	sum := sha256.Sum256([]byte(testKey))
	return workspace.Workspace{
		Name: "kotte", Template: "snagging",
		Keys: []workspace.Key{{ID: "test", SHA256: hex.EncodeToString(sum[:])}},
	}
}
