package gateway

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/lycheekeel/lycheekeel/internal/streamversion"
	"github.com/lycheekeel/lycheekeel/internal/wait"
	"github.com/lycheekeel/lycheekeel/objectstore"
)

// kindVersions holds, in a kind of this project's own and by service, the versions that a
// service's servers had lately, if there were several.
const kindVersions objectstore.Kind = "lycheekeel-versions"

const (
	// archiveInterval is how often the versions are compared with what the store holds.
	archiveInterval = 500 * time.Millisecond
	// archiveKey is the rendezvous hashing key by which the daemon that writes is selected.
	archiveKey = "archive of the versions"
)

// versionArchive implements streamversion.Archive in the store.
type versionArchive struct{ platform Platform }

// versionRecord is the object's value.
type versionRecord struct {
	Versions []string `json:"versions"`
}

// Versions implements streamversion.Archive.
func (a versionArchive) Versions(ctx context.Context, service string) ([]string, error) {
	o, err := a.platform.Store.Get(ctx, kindVersions, service) // a stale read may lack the newest version
	if errors.Is(err, objectstore.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read archived versions")
	}
	var r versionRecord
	return r.Versions, errors.Wrap(json.Unmarshal(o.Value, &r), "decode archived versions")
}

// Put implements streamversion.Archive.
func (a versionArchive) Put(ctx context.Context, service string, versions []string) error {
	old, err := a.platform.Store.Get(ctx, kindVersions, service)
	missing := errors.Is(err, objectstore.ErrNotFound)
	switch {
	case err != nil && !missing:
		return errors.Wrap(err, "read archived versions")
	case missing && len(versions) == 0:
		return nil
	case !missing && holds(old.Value, versions):
		return nil // the answer to an earlier write was lost, or another daemon wrote it
	}
	value, err := json.Marshal(versionRecord{versions})
	if err != nil {
		return errors.Wrap(err, "encode versions")
	}
	if missing {
		_, err = a.platform.Store.Create(ctx, kindVersions, service, value)
	} else {
		_, err = a.platform.Store.Update(ctx, kindVersions, service, value, old.Version)
	}
	return errors.Wrap(err, "archive versions")
}

// holds reports whether an object's value holds these versions.
func holds(value []byte, versions []string) bool {
	var r versionRecord
	return json.Unmarshal(value, &r) == nil && slices.Equal(r.Versions, versions)
}

// archiveVersions writes to the store which services have several versions, while this
// daemon is the one to do so, until ctx ends.
func (g *Gateway) archiveVersions(ctx context.Context) {
	archiver := streamversion.NewArchiver(g.state.versions, versionArchive{g.platform})
	writes, era := false, g.state.storeEra()
	for ctx.Err() == nil {
		first, ok := g.currentView.Load().Owner(archiveKey, g.settings.Region)
		selected, newest := ok && first.Name == g.settings.Name, g.state.storeEra()
		if selected != writes || newest != era {
			writes, era = selected, newest
			archiver = streamversion.NewArchiver(g.state.versions, versionArchive{g.platform}) // it knows what it has written
		}
		if writes {
			if err := archiver.Write(ctx, time.Now()); err != nil {
				g.log.WithError(err).Warn("Versions not archived.")
			}
		}
		wait.For(ctx, archiveInterval)
	}
}
