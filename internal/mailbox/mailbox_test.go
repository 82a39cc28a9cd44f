package mailbox

import (
	"sync/atomic"
	"testing"

	"github.com/sourcegraph/conc"
)

// Guards against concurrent calls of the handler, and against messages that are
// lost or reordered, including those that the handler posts itself.
func TestHandlesBatchesSerially(t *testing.T) {
	const posters, perPoster = 8, 2000
	type message struct{ poster, n int }
	var handling atomic.Int32
	var last [posters]int
	var box *Mailbox[message]
	handled, all := 0, make(chan struct{})
	box = New(func(f func()) { go f() }, func(batch []message) {
		if handling.Add(1) != 1 {
			t.Error("handler called concurrently")
		}
		for _, m := range batch {
			if m.n != last[m.poster]+1 {
				t.Errorf("poster %d: message %d handled after message %d", m.poster, m.n, last[m.poster])
			}
			last[m.poster] = m.n
			if m.poster == 0 && m.n < perPoster {
				box.Post(message{0, m.n + 1}) // the handler posts as well
			}
			if handled++; handled == posters*perPoster {
				close(all)
			}
		}
		handling.Add(-1)
	})
	var group conc.WaitGroup
	for p := range posters {
		group.Go(func() {
			for n := 1; n <= perPoster && (p > 0 || n == 1); n++ {
				box.Post(message{p, n})
			}
		})
	}
	group.Wait()
	<-all
}
