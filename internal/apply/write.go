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

// ConflictError reports that another operator has changed or deleted the object
// since this operator saw it. Nothing was overwritten.
type ConflictError struct {
	Ref             Ref
	Expected, Found objectstore.Version
	// Theirs is the other operator's change. If a file names the expected version,
	// it is the difference from the file to the stored object.
	Theirs []FieldChange
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.Found == 0 {
		return fmt.Sprintf("%s/%s: was deleted by somebody else; you saw version %d", e.Ref.Kind, e.Ref.Name, e.Expected)
	}
	return fmt.Sprintf("%s/%s: was changed by somebody else: version %d, you saw %d", e.Ref.Kind, e.Ref.Name, e.Found, e.Expected)
}

// Attempts of a write whose outcome is unknown, and the initial backoff between
// them.
const (
	maxWriteAttempts  = 6
	initialRetryDelay = 100 * time.Millisecond
)

// Write writes one change on the condition that the object still has c.Version,
// and returns the object's new version. Errors: *ConflictError,
// objectstore.ErrUnavailable (not written), objectstore.ErrUnknownOutcome (may
// have been written).
//
// The answer to a write may be lost after the write took effect. If this were
// reported as a failure, the operator would write again and overwrite a change
// made in the meantime. Write therefore reads the object back after an unknown
// outcome. If the old version is still stored, the write may yet arrive; it is
// retried on the same version, for which the object API accepts only one write.
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

// attemptWrite sends the write once.
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

// readBack reports whether a write whose answer was lost has taken effect.
func readBack(ctx context.Context, api objectstore.ObjectAPI, c Change) (objectstore.Version, bool) {
	o, err := api.Get(ctx, c.Kind, c.Name)
	if c.Action == Delete {
		return 0, errors.Is(err, objectstore.ErrNotFound)
	}
	return o.Version, err == nil && o.Version > c.Version && bytes.Equal(o.Value, c.newValue)
}

// resolveConflict determines whether a conflict is with another operator or with
// an earlier attempt of this write. A read that still returns c.Version is stale
// and is retried.
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
	return 0, errors.Wrapf(objectstore.ErrConflict, "%s/%s: cannot read its newest version: %v", c.Kind, c.Name, err)
}
