package daemon_test

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lycheekeel/lycheekeel/internal/daemon"
	"github.com/lycheekeel/lycheekeel/internal/testport"
	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/objectstore/httpobjectstore"
	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// Benchmarks of one entry. They run real processes: the daemon with GOMAXPROCS=4
// and stand-in engines that take little time of their own. Run them with
//
//	go test -run '^$' -bench Entry -benchtime 3000x ./internal/daemon
const (
	daemonProcs  = "4"
	benchKey     = "measure-key"
	benchTimeout = 30 * time.Second
	engineCount  = 4
	engineSlots  = 400
	fastEngine   = `{"slots":400,"step_ms":0.05,"sequence_ms":0.0001,"prefill_per_second":1e8,"prefill_chunk":100000}`
	slowEngine   = `{"slots":4000,"kv_tokens":100000000,"step_ms":400,"sequence_ms":0.0001,"prefill_per_second":1e8,"prefill_chunk":100000}`
	benchModel   = "writer"
)

// benchCluster is a running platform with engines and one daemon.
type benchCluster struct {
	b       *testing.B
	dir     string
	engines []string
	entry   string
	admin   string
	pid     int
}

// newBenchCluster builds the programs and starts a platform, engines and a daemon.
func newBenchCluster(b *testing.B, engineOptions string, slots int, policy pool.Policy) *benchCluster {
	bc := &benchCluster{b: b, dir: b.TempDir()}
	build := exec.Command("go", "build", "-o", bc.dir+string(filepath.Separator), "../../cmd/lycheekeeld", "../../cmd/lycheekeel")
	if out, err := build.CombinedOutput(); err != nil {
		b.Fatalf("build: %v\n%s", err, out)
	}
	store := freeAddress(b)
	bc.start("", "lycheekeel", "standin", "platform", "--listen", store)
	bc.awaitOK("http://" + store + "/standin/calls")
	for range engineCount {
		a := freeAddress(b)
		bc.engines = append(bc.engines, a)
		bc.start("", "lycheekeel", "--log-level", "error", "standin", "engine", "--listen", a, "--options", engineOptions)
		bc.awaitOK("http://" + a + "/healthz")
	}
	bc.configure(store, slots, policy)
	bc.entry, bc.admin = freeAddress(b), freeAddress(b)
	s := daemon.Settings{
		Name: "entry-1", Region: "here", AvailabilityZone: "hall", Listen: bc.entry, Admin: bc.admin,
		Peer:     daemon.PeerSettings{Listen: freeAddress(b), Seeds: []string{}, ClusterKeys: []string{"0123456789abcdef"}},
		Platform: daemon.PlatformSettings{Address: store}, Log: daemon.LogSettings{Level: "warning"},
	}
	file := filepath.Join(bc.dir, "settings.json")
	if err := os.WriteFile(file, marshal(b, s), 0o600); err != nil {
		b.Fatal(err)
	}
	bc.pid = bc.start("GOMAXPROCS="+daemonProcs, "lycheekeeld", "--settings", file)
	bc.awaitOK("http://" + bc.admin + "/readyz")
	bc.warmUp()
	return bc
}

// start runs a program until the benchmark's end.
func (bc *benchCluster) start(env, program string, args ...string) int {
	cmd := exec.Command(filepath.Join(bc.dir, program), args...)
	cmd.Env = append(os.Environ(), env)
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		bc.b.Fatal(err)
	}
	bc.b.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	return cmd.Process.Pid
}

func (bc *benchCluster) configure(store string, slots int, policy pool.Policy) {
	number := func(v int64) workspace.Number { return workspace.Number{Value: v} }
	sum := sha256.Sum256([]byte(benchKey))
	api := httpobjectstore.New(httpobjectstore.Options{Addr: store})
	put := func(kind objectstore.Kind, name string, v any) {
		if _, err := api.Create(context.Background(), kind, name, marshal(bc.b, v)); err != nil {
			bc.b.Fatal(err)
		}
	}
	put(workspace.KindTemplate, "desk", workspace.Template{
		Name: "desk", DefaultTier: "all", MaxTokens: number(4096), MaxBodyBytes: number(1 << 20),
		Tiers: []workspace.TierSpec{{
			Name: "all", FirstTokenMs: number(60_000), PerTokenMs: number(10_000), DeadlineMs: number(600_000), MaxWaiting: number(20_000),
		}},
		Models: []workspace.ModelSpec{{Name: benchModel, Version: "v1"}},
	})
	put(workspace.KindWorkspace, "acme", workspace.Workspace{
		Name: "acme", Template: "desk", Keys: []workspace.Key{{ID: "main", SHA256: hex.EncodeToString(sum[:])}},
	})
	put(workspace.KindPool, "writers", workspace.Pool{
		Name: "writers", Region: "here", Model: benchModel, Version: "v1", MaxWaiting: 20_000, Policy: string(policy),
	})
	for i, e := range bc.engines {
		put(workspace.KindBackendServer, fmt.Sprintf("engine-%d", i), workspace.BackendServer{
			Name: fmt.Sprintf("engine-%d", i), Address: e, Region: "here", AvailabilityZone: "hall", Pool: "writers", Slots: slots,
		})
	}
}

func freeAddress(b *testing.B) string {
	free, err := testport.Process.Address()
	if err != nil {
		b.Fatal(err)
	}
	return free
}

func marshal(b *testing.B, v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		b.Fatal(err)
	}
	return data
}

func (bc *benchCluster) awaitOK(url string) {
	bc.waitUntil(url, func() bool {
		resp, err := http.Get(url)
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

func (bc *benchCluster) waitUntil(what string, cond func() bool) {
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	timeout := time.After(benchTimeout)
	for !cond() {
		select {
		case <-tick.C:
		case <-timeout:
			bc.b.Fatalf("timeout after %v: %s", benchTimeout, what)
		}
	}
}

// warmUp sends requests until one is answered.
func (bc *benchCluster) warmUp() {
	bc.waitUntil("the first answer", func() bool {
		c := bc.dial(bc.entry)
		defer c.close()
		return strings.Contains(c.roundTrip(bc.chatRequest("echo:warm", false)), `"content":"warm"`)
	})
}

// client is one keep-alive connection.
type client struct {
	b    *testing.B
	conn net.Conn
	r    *bufio.Reader
}

func (bc *benchCluster) dial(addr string) *client {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		bc.b.Fatal(err)
	}
	return &client{b: bc.b, conn: conn, r: bufio.NewReader(conn)}
}

func (c *client) close() { _ = c.conn.Close() }

func (c *client) send(request []byte) {
	if _, err := c.conn.Write(request); err != nil {
		c.b.Fatal(err)
	}
}

// roundTrip sends a request and returns the answer's body.
func (c *client) roundTrip(request []byte) string {
	c.send(request)
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		c.b.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.b.Fatal(err)
	}
	return string(body)
}

// firstByte sends a request for a stream and returns the time to the first line
// that contains the marker. It reads the stream to its end.
func (c *client) firstByte(request []byte, marker string) time.Duration {
	sent := time.Now()
	c.send(request)
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		c.b.Fatal(err)
	}
	defer resp.Body.Close()
	lines := bufio.NewReader(resp.Body)
	var first time.Duration
	for {
		line, err := lines.ReadString('\n')
		if first == 0 && strings.Contains(line, marker) {
			first = time.Since(sent)
		}
		if err == io.EOF && first > 0 {
			return first
		}
		if err != nil {
			c.b.Fatalf("stream: %v", err)
		}
	}
}

func post(path, body string, header ...string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n", path, len(body))
	for _, h := range header {
		b.WriteString(h + "\r\n")
	}
	b.WriteString("\r\n" + body)
	return b.Bytes()
}

func (bc *benchCluster) chatRequest(text string, stream bool) []byte {
	return post("/v1/chat/completions", fmt.Sprintf(`{"model":%q,"stream":%v,"messages":[{"role":"user","content":%q}]}`,
		benchModel, stream, text), "Authorization: Bearer "+benchKey)
}

// engineRequest returns the same request in the engines' own format.
func (bc *benchCluster) engineRequest(id int, text string) []byte {
	return post("/engine/run", fmt.Sprintf(`{"request_id":"direct-%d","model":%q,"version":"v1","prompt":%q,"last":%q,"prompt_tokens":8,"max_tokens":64}`,
		id, benchModel, text, text))
}

func median(d []time.Duration) float64 {
	slices.Sort(d)
	return float64(d[len(d)/2].Microseconds()) / 1000
}

// BenchmarkEntryFirstByte measures the latency that the entry adds. It alternates
// between requests to the entry and requests sent directly to an engine.
func BenchmarkEntryFirstByte(b *testing.B) {
	bc := newBenchCluster(b, fastEngine, engineSlots, pool.PolicyLycheekeel)
	entryConn, directConn := bc.dial(bc.entry), bc.dial(bc.engines[0])
	defer entryConn.close()
	defer directConn.close()
	const text = "echo:tile"
	var entry, direct []time.Duration
	request := bc.chatRequest(text, true)
	b.ResetTimer()
	for i := range b.N {
		entry = append(entry, entryConn.firstByte(request, `"content":"tile"`))
		direct = append(direct, directConn.firstByte(bc.engineRequest(i, text), `"text":"tile"`))
	}
	b.ReportMetric(median(entry), "entry_p50_ms")
	b.ReportMetric(median(direct), "direct_p50_ms")
	b.ReportMetric(median(entry)-median(direct), "added_p50_ms")
}

// BenchmarkEntryRequests measures throughput with small requests without
// streaming. Each of its keep-alive connections sends the next request as soon as
// the previous one was answered.
func BenchmarkEntryRequests(b *testing.B) {
	const connections = 128
	bc := newBenchCluster(b, fastEngine, engineSlots, pool.PolicyLycheekeel)
	request := bc.chatRequest("echo:tile", false)
	var remaining atomic.Int64
	remaining.Store(int64(b.N))
	var wg sync.WaitGroup
	before := cpuSeconds(b, bc.pid)
	b.ResetTimer()
	for range connections {
		wg.Go(func() {
			c := bc.dial(bc.entry)
			defer c.close()
			for remaining.Add(-1) >= 0 {
				if got := c.roundTrip(request); !strings.Contains(got, `"content":"tile"`) {
					b.Errorf("wrong answer: %s", got)
				}
			}
		})
	}
	wg.Wait()
	b.StopTimer()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
	b.ReportMetric((cpuSeconds(b, bc.pid)-before)/b.Elapsed().Seconds(), "daemon_cores")
}

// BenchmarkEntryMemory measures the daemon's resident memory per idle connection,
// open stream and waiting request.
func BenchmarkEntryMemory(b *testing.B) {
	const idle, streams, waiting = 10_000, 2_000, 4_000
	longText := "echo:" + strings.Repeat("cracked tile; ", 400)
	for _, c := range []struct {
		gauge  string
		n      int
		slots  int  // of each engine
		full   bool // all slots are filled before the n measured requests are sent
		stream bool
		policy pool.Policy
	}{
		{"connections", idle, 1, false, false, pool.PolicyLycheekeel},
		// A baseline policy fills the slots at once, while the default policy
		// first has to find the engines' concurrency limits.
		{"open_streams", streams, streams / engineCount, false, true, pool.PolicyLeastOutstanding},
		{"waiting", waiting, 1, true, false, pool.PolicyLycheekeel},
	} {
		b.Run(c.gauge, func(b *testing.B) {
			bc := newBenchCluster(b, slowEngine, c.slots, c.policy)
			request := bc.chatRequest(longText, c.stream)
			if c.full {
				for range engineCount {
					bc.openAndHold(request)
				}
			}
			before := residentKB(b, bc.pid)
			for range c.n {
				if c.gauge == "connections" {
					request = nil
				}
				bc.openAndHold(request)
			}
			bc.waitUntil(fmt.Sprintf("%d %s", c.n, c.gauge), func() bool { return bc.gauge(c.gauge) >= c.n })
			b.ReportMetric((residentKB(b, bc.pid)-before)/float64(c.n), "KB/each")
			if !c.full && !c.stream {
				bc.warmUp() // a request is answered beside so many idle connections
			}
			b.ReportMetric(float64(len(request))/1024, "KB/request")
		})
	}
}

// openAndHold opens a connection that stays open until the benchmark's end and
// sends a request on it, unless request is nil.
func (bc *benchCluster) openAndHold(request []byte) {
	c := bc.dial(bc.entry)
	bc.b.Cleanup(c.close)
	if request != nil {
		c.send(request)
	}
}

// gauge reads one of the entry's gauges.
func (bc *benchCluster) gauge(name string) int {
	resp, err := http.Get("http://" + bc.admin + "/debug/vars")
	if err != nil {
		bc.b.Fatal(err)
	}
	defer resp.Body.Close()
	var vars struct {
		Lycheekeel struct {
			Entry map[string]int `json:"entry"`
		} `json:"lycheekeel"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&vars); err != nil {
		bc.b.Fatal(err)
	}
	return vars.Lycheekeel.Entry[name]
}

// residentKB returns a process's resident memory in kB.
func residentKB(b *testing.B, pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		b.Skipf("no /proc: %v", err)
	}
	_, rest, _ := strings.Cut(string(data), "VmRSS:")
	kb, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
	if err != nil {
		b.Fatal(err)
	}
	return kb
}

// cpuSeconds returns the CPU time that a process has used, in seconds.
func cpuSeconds(b *testing.B, pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		b.Skipf("no /proc: %v", err)
	}
	const user, system, ticks = 11, 12, 100 // indexes of the fields after the name; ticks per second (USER_HZ)
	_, rest, _ := strings.Cut(string(data), ") ")
	f := strings.Fields(rest)
	u, _ := strconv.ParseFloat(f[user], 64)
	s, _ := strconv.ParseFloat(f[system], 64)
	return (u + s) / ticks
}
