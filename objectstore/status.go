package objectstore

import (
	"net/http"

	"github.com/pkg/errors"
)

// ErrorFromStatus maps the HTTP status of a store's response to one of the ports' errors, or
// nil for success. Any other status means that the outcome is unknown.
func ErrorFromStatus(status int) error {
	switch status {
	case http.StatusOK, http.StatusCreated:
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict:
		return ErrConflict
	case http.StatusGone:
		return ErrCompacted
	case http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return ErrUnavailable
	default:
		return ErrUnknownOutcome
	}
}

// ErrorName returns the name of the counter of an error.
func ErrorName(err error) string {
	for _, e := range []struct {
		err  error
		name string
	}{
		{ErrNotFound, "not_found"},
		{ErrConflict, "conflict"},
		{ErrCompacted, "compacted"},
		{ErrTooLarge, "too_large"},
		{ErrUnavailable, "unavailable"},
	} {
		if errors.Is(err, e.err) {
			return e.name
		}
	}
	return "unknown_outcome"
}
