package streamversion

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// versionMemory is how long a version counts after its last server was there: longer than a
// stream lasts that it has begun.
const versionMemory = 2 * time.Minute

// History knows which versions of each service had servers lately. It is safe for concurrent
// use.
type History struct {
	mu       sync.Mutex
	services map[string]map[string]*presence
	since    time.Time // since when the servers are observed without a gap; zero: not yet
	restored time.Time // when the store was restored from a backup; zero: not as long as observed
}

// presence tells how many servers of a version there are, and until when there were some.
type presence struct {
	servers int
	endedAt time.Time // zero while there are servers
}

// NewHistory returns an empty history.
func NewHistory() *History { return &History{services: map[string]map[string]*presence{}} }

// Add records a server that appeared.
func (h *History) Add(now time.Time, service, version string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.since.IsZero() {
		h.since = now
	}
	versions := h.services[service]
	if versions == nil {
		versions = map[string]*presence{}
		h.services[service] = versions
	}
	if versions[version] == nil {
		versions[version] = &presence{}
	}
	versions[version].servers++
	versions[version].endedAt = time.Time{}
}

// Remove records that a server that was added is gone.
func (h *History) Remove(now time.Time, service, version string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.services[service][version]
	if p == nil {
		return
	}
	if p.servers--; p.servers <= 0 {
		p.servers, p.endedAt = 0, now
	}
}

// ObserveFrom records that versions may have come and gone unseen until a time.
func (h *History) ObserveFrom(since time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.since = since
}

// StoreRestored records that the store lost what it had been told lately, also of versions.
func (h *History) StoreRestored(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.since, h.restored = now, now
}

// RestoredWithin reports whether the store was restored within a time.
func (h *History) RestoredWithin(now time.Time, d time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.restored.IsZero() && now.Sub(h.restored) < d
}

// ObservedFor returns how long this daemon has observed the servers without a gap.
func (h *History) ObservedFor(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.since.IsZero() {
		return 0
	}
	return now.Sub(h.since)
}

// Services returns the services that have or had servers, sorted.
func (h *History) Services() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Sorted(maps.Keys(h.services))
}

// Versions returns the versions that had servers lately, sorted.
func (h *History) Versions(now time.Time, service string) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []string
	for version, p := range h.services[service] {
		if p.servers == 0 && now.Sub(p.endedAt) > versionMemory {
			delete(h.services[service], version)
			continue
		}
		out = append(out, version)
	}
	slices.Sort(out)
	return out
}
