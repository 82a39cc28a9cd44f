package objectstore

import (
	"net/http"

	"github.com/pkg/errors"
)

// ErrorFromStatus maps the HTTP status of a store's answer to an error of the
// ports; nil is success. A status that is not known proves nothing.
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

// ErrorName names an error's counter.
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
