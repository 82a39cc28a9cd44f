// Package objectstore holds the ports to the platform that the system runs on:
// its object API, its VM list and its weight store. Adapters translate a wire
// format; aggregates see only these interfaces and their typed errors.
package objectstore

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors of the ports. Adapters wrap them; callers test with errors.Is.
var (
	// ErrNotFound: no such object.
	ErrNotFound = errors.New("object not found")
	// ErrConflict: the object's version is not the expected one; the write
	// certainly had no effect.
	ErrConflict = errors.New("object version conflict")
	// ErrUnavailable: the platform did not take the call; a write certainly
	// had no effect.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrUnknownOutcome: no answer came after the call may have been taken; a
	// write may or may not have had effect. Settle it by reading back.
	ErrUnknownOutcome = errors.New("outcome unknown")
	// ErrCompacted: a watch asked for a version older than the platform keeps.
	ErrCompacted = errors.New("watch version compacted")
	// ErrTooLarge: the value is over MaxValueBytes.
	ErrTooLarge = errors.New("value too large")
)

// MaxValueBytes is the largest value that the object API holds.
const MaxValueBytes = 1 << 20

// Version orders the writes of the whole object API: each write gets a larger
// one. Zero means "absent".
type Version uint64

// Kind groups objects, e.g. "Template" or "Claim".
type Kind string

// Object is one stored object.
type Object struct {
	Kind    Kind
	Name    string
	Version Version
	// Created is the version of the object's creation: it changes when an
	// object is deleted and created again under the same name.
	Created Version
	Value   []byte
	// Status is what the system has written beside the value; empty: nothing.
	Status []byte
}

// Event is one change seen by a watch.
type Event struct {
	Object  Object // for a deletion: Kind, Name and the deletion's Version
	Deleted bool
}

// List is a consistent listing of one kind.
type List struct {
	Objects []Object
	// Version is the object API's version as of the listing; a watch may
	// start after it.
	Version Version
}

// ObjectAPI is the platform's object store. Each call, a waiting watch as
// one, counts against its rates. Implementations are safe for concurrent use
// and never repeat a write by themselves.
type ObjectAPI interface {
	Get(ctx context.Context, kind Kind, name string) (Object, error)
	List(ctx context.Context, kind Kind, namePrefix string) (List, error)
	// Create stores a new object; ErrConflict if it exists.
	Create(ctx context.Context, kind Kind, name string, value []byte) (Version, error)
	// Update replaces the object if its version is still expected.
	Update(ctx context.Context, kind Kind, name string, value []byte, expected Version) (Version, error)
	// Delete removes the object if its version is still expected.
	Delete(ctx context.Context, kind Kind, name string, expected Version) (Version, error)
	// Watch waits for changes of the kinds after the version and returns
	// them, oldest first, with the version to continue from. It returns no
	// events when the wait ended without a change. ErrCompacted: list anew.
	Watch(ctx context.Context, kinds []Kind, after Version, wait time.Duration) ([]Event, Version, error)
}

// StatusWriter replaces an object's status, and leaves its value to whoever wrote that.
type StatusWriter interface {
	// UpdateStatus replaces the status if the object's version is still expected.
	UpdateStatus(ctx context.Context, kind Kind, name string, status []byte, expected Version) (Version, error)
}

// StaleReader reads what may be seconds old, at less cost than ObjectAPI. It
// proves that the platform answers, and nothing about what is in force.
type StaleReader interface {
	GetStale(ctx context.Context, kind Kind, name string) (Object, error)
}

// VMState is a VM's state in the platform's list.
type VMState string

// The states of a VM. The list lags.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one entry of the platform's VM list.
type VM struct {
	Name             string
	IP               string
	Role             string // "entry" or "backend"
	AvailabilityZone string
	Region           string
	State            VMState
}

// VMList is the platform's list of VMs; it lags behind the truth.
type VMList interface {
	VMs(ctx context.Context) ([]VM, error)
}

// WeightStore rations the loading of model weights.
type WeightStore interface {
	// Reserve asks to load bytes of a model now. It returns zero when
	// granted, else how long to wait before asking again.
	Reserve(ctx context.Context, model, version string) (time.Duration, error)
}

// Platform is everything that the platform offers.
type Platform interface {
	ObjectAPI
	VMList
	WeightStore
}
