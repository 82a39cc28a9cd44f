package crowd

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/lycheekeel/lycheekeel/internal/wait"
)

// Footprint is the most that a process has held.
type Footprint struct {
	Resident    int64 // bytes of memory, over the whole life of the process
	Unread      int64 // bytes that the kernel had received and the process had not read, while it was watched
	Descriptors int   // while it was watched
}

const footprintInterval = 50 * time.Millisecond

// Watch watches a process that serves an address until the returned function is called.
func Watch(t testing.TB, pid int, address string) (stop func() Footprint) {
	ctx, cancel := context.WithCancel(context.Background())
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		t.Fatal(err)
	}
	var most Footprint
	var wg conc.WaitGroup
	wg.Go(func() {
		for ctx.Err() == nil {
			most.Unread = max(most.Unread, unreadBytes(pid, port))
			most.Descriptors = max(most.Descriptors, openDescriptors(pid))
			wait.For(ctx, footprintInterval)
		}
	})
	return func() Footprint {
		cancel()
		wg.Wait()
		most.Resident = peakResident(t, pid)
		return most
	}
}

// Check fails the test if the process held more than it may.
func (f Footprint) Check(t testing.TB, memoryMB float64, descriptors int) {
	const mb = 1e6
	t.Logf("most: %d MB resident, %d MB unread, %d descriptors", f.Resident/mb, f.Unread/mb, f.Descriptors)
	if held := float64(f.Resident+f.Unread) / mb; held > memoryMB {
		t.Errorf("the process held %.0f MB, it may have %.0f", held, memoryMB)
	}
	if f.Descriptors > descriptors {
		t.Errorf("the process had %d descriptors open, it may have %d", f.Descriptors, descriptors)
	}
}

// openDescriptors returns how many descriptors a process has open; 0 if it has ended.
func openDescriptors(pid int) int {
	all, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(all)
}

// peakResident returns the most memory that a process has had, in bytes.
func peakResident(t testing.TB, pid int) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Errorf("the process has ended: %v", err)
		return 0
	}
	for _, line := range strings.Split(string(status), "\n") {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			if err != nil {
				t.Error(err)
			}
			return kb << 10
		}
	}
	t.Error("the process has ended")
	return 0
}

// unreadBytes returns the bytes that the kernel holds unread of connections to a port.
func unreadBytes(pid int, port string) int64 {
	f, err := os.Open(fmt.Sprintf("/proc/%d/net/tcp", pid))
	if err != nil {
		return 0 // the process has ended, which peakResident reports
	}
	defer f.Close()
	number, _ := strconv.Atoi(port)
	suffix := fmt.Sprintf(":%04X", number)
	const listening = "0A"
	var sum int64
	for lines := bufio.NewScanner(f); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || !strings.HasSuffix(fields[1], suffix) || fields[3] == listening {
			continue
		}
		_, unread, _ := strings.Cut(fields[4], ":")
		n, _ := strconv.ParseInt(unread, 16, 64)
		sum += n
	}
	return sum
}
