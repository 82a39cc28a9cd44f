package soak

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"

	"github.com/lycheekeel/lycheekeel/internal/explain"
)

// Guards against: the fate of a request whose process was killed can't be traced,
// because no log has its ID.
func TestRequestLostWithItsProcessIsLogged(t *testing.T) {
	// The stream lasts longer than the test.
	f := newFleet(t, fleetOptions{eventInterval: waitLimit / 5, onceTimeout: 10 * waitLimit})
	n := f.nodes[0]
	f.eventually("the node is ready", n.ready)
	id, serverID, sent := "", "", 0
	// A node may refuse its first requests after the start.
	f.eventually("a server runs a request", func() bool {
		conn, err := net.Dial("tcp", n.settings.Listen)
		if err != nil {
			return false
		}
		t.Cleanup(func() { _ = conn.Close() })
		sent++
		id = fmt.Sprint("dies-with-its-process-", sent)
		fmt.Fprintf(conn, "POST /s/once/ HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\nAuthorization: Bearer k1\r\nX-Deadline-Ms: %d\r\nContent-Length: 1\r\n\r\nx",
			id, (10 * waitLimit).Milliseconds())
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		return err == nil && resp.StatusCode == http.StatusOK
	})
	for _, s := range f.servers {
		if s.Runs(id) > 0 {
			serverID = s.ID
		}
	}
	logFile := filepath.Join(f.dir, n.name+".log")
	f.eventually("the log reports the request as still running", func() bool {
		written, err := os.ReadFile(logFile)
		return err == nil && bytes.Contains(written, []byte("Still running.")) && bytes.Contains(written, []byte(id))
	})
	n.kill()

	written, err := os.Open(logFile)
	if err != nil {
		t.Fatal(err)
	}
	defer written.Close()
	c := explain.NewLossCollector()
	if err := c.Read(logFile, written); err != nil {
		t.Fatal(err)
	}
	lost := c.Losses().Unended
	if len(lost) != 1 || lost[0].Request != id || lost[0].Server != serverID || lost[0].VM != n.name {
		t.Errorf("the logs report %+v, want %s on %s at %s", lost, id, n.name, serverID)
	}
}
