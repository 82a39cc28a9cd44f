package streamversion

import (
	"context"
	"slices"
	"time"
)

// Archive keeps, beyond the life of all daemons, which services had several versions lately.
type Archive interface {
	// Versions returns the versions that a service had lately; none if it had a single one.
	Versions(ctx context.Context, service string) ([]string, error)
	// Put replaces the versions of a service; none: the service has a single one.
	Put(ctx context.Context, service string, versions []string) error
}

const (
	// archiveTimeout bounds a call of the archive.
	archiveTimeout = 500 * time.Millisecond
	// archiveMaxAge is how long an answer of the archive is used again: after all daemons
	// were killed, all streams are taken up at once.
	archiveMaxAge = time.Second
)

// archived is the last answer of the archive for a service.
type archived struct {
	versions []string
	err      error
	at       time.Time
}

// archiveHasOnly reports whether the archive was read, and knows no other version of a
// service.
func (k *Keeper) archiveHasOnly(ctx context.Context, service, version string) bool {
	if k.cfg.Archive == nil {
		return false
	}
	k.archiveMu.Lock()
	defer k.archiveMu.Unlock()
	last, known := k.archived[service]
	if now := k.cfg.Now(); !known || now.Sub(last.at) > archiveMaxAge {
		ctx, cancel := context.WithTimeout(ctx, archiveTimeout)
		defer cancel()
		last.versions, last.err = k.cfg.Archive.Versions(ctx, service)
		last.at = now
		k.archived[service] = last
		if last.err != nil {
			k.log.WithField("service", service).WithError(last.err).Warn("Archived versions can't be read.")
		}
	}
	return last.err == nil && !slices.ContainsFunc(last.versions, func(v string) bool { return v != version })
}

// Archiver writes to the archive which services have several versions, as long as it is told
// to. Only one daemon should be told to, but two do no harm.
type Archiver struct {
	history *History
	archive Archive
	written map[string][]string // by service, since this daemon began to write
}

// NewArchiver returns an archiver of a history.
func NewArchiver(h *History, a Archive) *Archiver {
	return &Archiver{history: h, archive: a, written: map[string][]string{}}
}

// Write brings the archive up to date with the history. It returns the first error; what was
// not written is tried again by the next call.
func (a *Archiver) Write(ctx context.Context, now time.Time) (first error) {
	for _, service := range a.history.Services() {
		versions, due := a.due(now, service)
		if !due {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, archiveTimeout)
		err := a.archive.Put(ctx, service, versions)
		cancel()
		if err == nil {
			a.written[service] = versions
		} else if first == nil {
			first = err
		}
	}
	return first
}

// due returns what the archive should hold for a service, and whether that has to be
// written. What earlier daemons wrote is replaced once this one has seen enough itself.
func (a *Archiver) due(now time.Time, service string) ([]string, bool) {
	versions := a.history.Versions(now, service)
	written, known := a.written[service]
	if len(versions) > 1 {
		return versions, !slices.Equal(versions, written)
	}
	if known {
		return nil, len(written) > 0
	}
	return nil, a.history.ObservedFor(now) >= versionMemory
}
