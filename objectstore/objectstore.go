// Package objectstore defines the ports to the platform that the system runs on: its object
// API, its VM list and its weight store. Adapters implement the wire formats; all other code
// uses only these interfaces and their typed errors.
package objectstore

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors of the ports. Adapters wrap them; callers test with errors.Is.
var (
	// ErrNotFound: the object does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrConflict: the object's version is not the expected one. The write certainly
	// had no effect.
	ErrConflict = errors.New("object version conflict")
	// ErrUnavailable: the platform did not accept the call. A write certainly had no
	// effect.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrUnknownOutcome: the call may have been accepted, but no response arrived. A
	// write may or may not have had an effect; read the object back to find out.
	ErrUnknownOutcome = errors.New("outcome unknown")
	// ErrCompacted: a watch asked for a version older than the platform's history.
	ErrCompacted = errors.New("watch version compacted")
	// ErrTooLarge: the value is larger than MaxValueBytes.
	ErrTooLarge = errors.New("value too large")
)

// MaxValueBytes is the maximum size of a value, in bytes.
const MaxValueBytes = 1 << 20

// Kind is the type of an object, e.g. "Template" or "Claim".
type Kind string

// Object is one stored object.
type Object struct {
	Kind    Kind
	Name    string
	Version Version
	// Created is the revision at which the object was created. It changes when an object is
	// deleted and created again under the same name. It has no era: an object that comes back
	// with a backup of the store is the same one.
	Created Version
	// Value is empty if what is stored can't be decoded.
	Value []byte
	// Status is what the system has written beside the value; it may be empty.
	Status []byte
}

// Event is one change reported by a watch.
type Event struct {
	Object  Object // for a deletion: Kind, Name and the deletion's Version
	Deleted bool
}

// List is a consistent list of the objects of one kind.
type List struct {
	Objects []Object
	// Version is the object API's version at the time of the listing. A watch may
	// start from it.
	Version Version
	// Unnamed is the number of objects that are missing above, because nobody can tell their
	// names or versions.
	Unnamed int
}

// ObjectAPI is the platform's object store. Each call counts against its rate limits; a
// waiting watch counts as one call. Implementations are safe for concurrent use and never
// repeat a write by themselves.
type ObjectAPI interface {
	Get(ctx context.Context, kind Kind, name string) (Object, error)
	List(ctx context.Context, kind Kind, namePrefix string) (List, error)
	// Create stores a new object. It returns ErrConflict if the object exists.
	Create(ctx context.Context, kind Kind, name string, value []byte) (Version, error)
	// Update replaces the object if its version is the expected one.
	Update(ctx context.Context, kind Kind, name string, value []byte, expected Version) (Version, error)
	// Delete removes the object if its version is the expected one.
	Delete(ctx context.Context, kind Kind, name string, expected Version) (Version, error)
	// Watch waits for changes of the given kinds after the given version. It returns
	// them, oldest first, with the version to continue from. It returns no events if
	// the wait ended without a change. After ErrCompacted the caller must list again.
	Watch(ctx context.Context, kinds []Kind, after Version, wait time.Duration) ([]Event, Version, error)
}

// StatusWriter replaces an object's status and leaves its value unchanged.
type StatusWriter interface {
	// UpdateStatus replaces the status if the object's version is the expected one.
	UpdateStatus(ctx context.Context, kind Kind, name string, status []byte, expected Version) (Version, error)
}

// StaleReader reads objects that may be seconds old, at a lower cost than ObjectAPI. A
// response proves that the platform answers, but not which version is current.
type StaleReader interface {
	GetStale(ctx context.Context, kind Kind, name string) (Object, error)
}

// VMState is the state of a VM in the platform's list.
type VMState string

// The states of a VM. The list lags behind the actual state.
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

// VMList is the platform's list of VMs. It lags behind the actual state.
type VMList interface {
	VMs(ctx context.Context) ([]VM, error)
}

// WeightStore limits the rate at which model weights are loaded.
type WeightStore interface {
	// Reserve asks for permission to load a model's weights now. It returns zero if
	// granted, else the time to wait before the next attempt.
	Reserve(ctx context.Context, model, version string) (time.Duration, error)
}

// Platform combines all ports of the platform.
type Platform interface {
	ObjectAPI
	VMList
	WeightStore
}
