package apply

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"github.com/lycheekeel/lycheekeel/internal/wait"
	"github.com/lycheekeel/lycheekeel/objectstore"
)

// ConflictError tells that an object is not at the version that the operator
// saw: somebody else changed it. Nothing of theirs was overwritten.
type ConflictError struct {
	Ref             Ref
	Expected, Found objectstore.Version
	// Theirs is the other's change; for a version named in a file, the
	// difference from the file to what is stored.
	Theirs []FieldChange
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.Found == 0 {
		return fmt.Sprintf("%s/%s: was deleted by somebody else; you saw version %d", e.Ref.Kind, e.Ref.Name, e.Expected)
	}
	return fmt.Sprintf("%s/%s: was changed by somebody else: version %d, you saw %d", e.Ref.Kind, e.Ref.Name, e.Found, e.Expected)
}

// Attempts at one write whose outcome is unknown, and the delays between.
const (
	maxWriteAttempts  = 6
	initialRetryDelay = 100 * time.Millisecond
)

// Write writes one change, conditionally on its version, and returns the
// object's new version. Errors: *ConflictError, objectstore.ErrUnavailable (not
// written), objectstore.ErrUnknownOutcome (could not be settled).
//
// What goes wrong: the answer to a write is lost after it took effect; told
// as a failure, the operator would write again over a change made since. So
// an unknown outcome is settled by reading back; where the old version still
// stands, the write may yet arrive, so it is tried again on the same version,
// which the object API lets through only once.
func Write(ctx context.Context, api objectstore.ObjectAPI, c Change) (objectstore.Version, error) {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = initialRetryDelay
	var err error
	outcomeUnknown := false
	for range maxWriteAttempts {
		var v objectstore.Version
		v, err = attemptWrite(ctx, api, c)
		switch {
		case err == nil:
			return v, nil
		case errors.Is(err, objectstore.ErrUnknownOutcome):
			outcomeUnknown = true
		case errors.Is(err, objectstore.ErrConflict), errors.Is(err, objectstore.ErrNotFound):
			return resolveConflict(ctx, api, c, outcomeUnknown)
		case !outcomeUnknown:
			return 0, errors.Wrapf(err, "%s/%s", c.Kind, c.Name)
		}
		if v, settled := readBack(ctx, api, c); settled {
			return v, nil
		}
		if !wait.For(ctx, delays.NextBackOff()) {
			break
		}
	}
	return 0, errors.Wrapf(objectstore.ErrUnknownOutcome, "%s/%s: last error: %v", c.Kind, c.Name, err)
}

// attemptWrite makes one attempt.
func attemptWrite(ctx context.Context, api objectstore.ObjectAPI, c Change) (objectstore.Version, error) {
	switch c.Action {
	case Create:
		return api.Create(ctx, c.Kind, c.Name, c.newValue)
	case Delete:
		return api.Delete(ctx, c.Kind, c.Name, c.Version)
	default:
		return api.Update(ctx, c.Kind, c.Name, c.newValue, c.Version)
	}
}

// readBack tells whether a write whose answer was lost took effect.
func readBack(ctx context.Context, api objectstore.ObjectAPI, c Change) (objectstore.Version, bool) {
	o, err := api.Get(ctx, c.Kind, c.Name)
	if c.Action == Delete {
		return 0, errors.Is(err, objectstore.ErrNotFound)
	}
	return o.Version, err == nil && o.Version > c.Version && bytes.Equal(o.Value, c.newValue)
}

// resolveConflict tells a conflict with somebody else from one with this write's own
// earlier attempt. A read that still shows the version written on is stale and
// is made again.
func resolveConflict(ctx context.Context, api objectstore.ObjectAPI, c Change, outcomeUnknown bool) (objectstore.Version, error) {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = initialRetryDelay
	var o objectstore.Object
	var err error
	for range maxWriteAttempts {
		if v, ours := readBack(ctx, api, c); outcomeUnknown && ours {
			return v, nil
		}
		o, err = api.Get(ctx, c.Kind, c.Name)
		if errors.Is(err, objectstore.ErrNotFound) || (err == nil && o.Version > c.Version) {
			return 0, &ConflictError{
				Ref: Ref{c.Kind, c.Name}, Expected: c.Version, Found: o.Version, Theirs: Diff(c.oldValue, o.Value),
			}
		}
		if !wait.For(ctx, delays.NextBackOff()) {
			break
		}
	}
	return 0, errors.Wrapf(objectstore.ErrConflict, "%s/%s: its newest version can't be read: %v", c.Kind, c.Name, err)
}
