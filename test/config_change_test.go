package test

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"

	standin "github.com/lycheekeel/lycheekeel/internal/standin/objectstore"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// apply runs "lycheekeel apply" on one object and returns its exit code and output.
func (c *cluster) apply(kind, expect string, v any) (int, string) {
	c.t.Helper()
	value, err := json.Marshal(v)
	if err != nil {
		c.t.Fatal(err)
	}
	object := map[string]any{}
	if err := json.Unmarshal(value, &object); err != nil {
		c.t.Fatal(err)
	}
	object["kind"] = kind
	data, _ := json.Marshal(object)
	file := filepath.Join(c.t.TempDir(), "object.json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		c.t.Fatal(err)
	}
	cmd := exec.Command(filepath.Join(binDir, "lycheekeel"), "apply", "--platform", c.platformAddr, "-f", file, "--expect-version", expect)
	out, err := cmd.CombinedOutput()
	if err != nil && cmd.ProcessState == nil {
		c.t.Fatal(err)
	}
	return cmd.ProcessState.ExitCode(), string(out)
}

// Guards against: a concurrent change silently overwrites an accepted one.
func TestConcurrentApplyOfOneTemplate(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterSpec{nodes: 3, engines: 1})
	Convey("one change is accepted and becomes active; the others get a conflict", t, func() {
		stored, err := c.api.Get(t.Context(), workspace.KindTemplate, "snagging")
		So(err, ShouldBeNil)
		codes := make([]int, 5)
		outputs := make([]string, 5)
		var wg conc.WaitGroup
		for i := range codes {
			changed := testTemplate()
			changed.MaxTokens.Value = int64(1000 + i)
			wg.Go(func() {
				codes[i], outputs[i] = c.apply("Template", fmt.Sprint(stored.Version), changed)
			})
		}
		wg.Wait()
		winner := -1
		for i, code := range codes {
			if code == 0 {
				So(winner, ShouldEqual, -1)
				winner = i
				continue
			}
			So(code, ShouldEqual, 4) // conflict
			So(outputs[i], ShouldContainSubstring, "max_tokens")
		}
		So(winner, ShouldNotEqual, -1)
		after, err := c.api.Get(t.Context(), workspace.KindTemplate, "snagging")
		So(err, ShouldBeNil)
		var kept workspace.Template
		So(json.Unmarshal(after.Value, &kept), ShouldBeNil)
		So(kept.MaxTokens.Value, ShouldEqual, 1000+winner)
		c.awaitVersion(uint64(after.Version))
	})
}

// Guards against: a daemon that restarts during a store outage serves no requests
// or an old configuration.
func TestDaemonStartsWhileStoreIsDownOrStale(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterSpec{nodes: 3, engines: 1})
	Convey("it gets the latest configuration from its peers and never reverts to an older one", t, func() {
		var version uint64
		for i := range 4 {
			version = uint64(c.put(workspace.KindPool, testPool, workspace.Pool{
				Name: testPool, Region: testRegion, Model: testModel, Version: "v1", MaxWaiting: 700 + i,
			}))
		}
		c.awaitVersion(version)
		c.storeFaults(standin.Faults{Down: true})
		n := c.nodes[0]
		n.kill()
		n.settings.Peer.Seeds = []string{c.nodes[1].peerLink.proxy.Addr(), c.nodes[2].peerLink.proxy.Addr()}
		c.startNode(n)
		c.awaitReady(n)
		So(uint64(c.status(n).Configuration.Version), ShouldEqual, version)
		So(chat(t.Context(), n.callerLink.proxy.Addr(), call{prompt: "echo:served in the outage"}).text, ShouldEqual, "served in the outage")

		c.storeFaults(standin.Faults{StaleWrites: 3})
		c.nodes[1].kill()
		c.startNode(c.nodes[1])
		c.awaitReady(c.nodes[1])
		for range 100 {
			for _, n := range c.nodes {
				So(uint64(c.status(n).Configuration.Version), ShouldBeGreaterThanOrEqualTo, version)
			}
		}
	})
}

// Guards against: a process that is not a member of the cluster gets requests or grants.
func TestDaemonWithAnotherClusterKeyIsNotAMember(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterSpec{nodes: 2, engines: 1})
	Convey("the members don't see it, and it doesn't see them", t, func() {
		members := append([]*node(nil), c.nodes...)
		stranger := c.prepareNode("stranger")
		stranger.settings.Peer.ClusterKeys = []string{"another-key-of-the-same-length"}
		c.startNode(stranger)
		c.awaitReady(stranger)
		a := chat(t.Context(), stranger.callerLink.proxy.Addr(), call{prompt: "echo:alone"})
		So(a.text, ShouldEqual, "alone")
		So(c.countAlive(stranger), ShouldEqual, 1)
		for _, n := range members {
			for _, m := range c.status(n).Members {
				So(m.Name, ShouldNotEqual, "stranger")
			}
		}
	})
}
