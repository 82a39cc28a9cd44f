package streamversion

import (
	"sync"
	"time"

	"github.com/lycheekeel/lycheekeel/internal/streamversion/wire"
)

// maxRecords bounds the records of a daemon; the oldest are dropped first. One takes about
// 100 bytes.
const maxRecords = 1 << 15

// ambiguous is the version of a stream of which two versions were recorded: its caller has
// used one id for several requests.
const ambiguous = ""

// table holds the versions of streams until their records expire. It is safe for concurrent
// use.
type table struct {
	mu      sync.Mutex
	records map[key]record
	order   []key // of insertion, with keys whose records were dropped
}

type record struct {
	version string
	expires time.Time
}

func newTable() *table { return &table{records: map[key]record{}} }

// put records the version that began a stream, and reports whether it was not recorded yet.
func (t *table) put(now time.Time, k key, version string, keepFor time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropOld(now)
	r := record{version, now.Add(keepFor)}
	old, known := t.records[k]
	if !known {
		t.order = append(t.order, k)
	} else if now.Before(old.expires) {
		r = r.merge(old)
	}
	t.records[k] = r
	return !known
}

// merge returns the record of a stream that was recorded before.
func (r record) merge(old record) record {
	if old.version != r.version {
		r.version = ambiguous
	}
	if r.expires.Before(old.expires) {
		r.expires = old.expires
	}
	return r
}

// dropOld makes room for a record.
func (t *table) dropOld(now time.Time) {
	n := 0
	for _, k := range t.order {
		r, known := t.records[k]
		if known && now.Before(r.expires) && len(t.records) < maxRecords {
			break
		}
		delete(t.records, k)
		n++
	}
	t.order = t.order[n:]
}

// get returns the version that began a stream. It is not ok if nothing is recorded, and
// ambiguous if two versions are.
func (t *table) get(now time.Time, k key) (version string, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, known := t.records[k]
	return r.version, known && now.Before(r.expires)
}

// count returns the number of records.
func (t *table) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records)
}

// byGroup returns the records that have not expired, as messages.
func (t *table) byGroup(now time.Time) (out [keeperGroups][]*wire.Began) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, r := range t.records {
		if left := r.expires.Sub(now); left >= time.Millisecond {
			out[groupOf(k)] = append(out[groupOf(k)], began(k, r.version, left))
		}
	}
	return out
}

// live returns the number of records that have not expired.
func (t *table) live(now time.Time) (n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.records {
		if now.Before(r.expires) {
			n++
		}
	}
	return n
}
