// Package wire defines the HTTP and JSON format of the platform's ports, used by the HTTP
// adapter and by the platform stand-in. The real platform's format is not known yet; only
// this package and these two users need to change for it.
package wire

import "github.com/lycheekeel/lycheekeel/objectstore"

// Paths of the ports.
const (
	PathObject  = "/api/object"
	PathObjects = "/api/objects"
	PathWatch   = "/api/watch"
	PathVMs     = "/api/vms"
	PathReserve = "/api/weights/reserve"
)

// Query arguments. A write has either ArgCreate or ArgExpected; its body is the raw value.
const (
	ArgKind     = "kind"
	ArgName     = "name"
	ArgPrefix   = "prefix"
	ArgCreate   = "create"
	ArgExpected = "expected"
	ArgAfter    = "after"
	ArgWaitMs   = "wait_ms"
	ArgModel    = "model"
	ArgVersion  = "version"
)

// WriteResponse is the response to a write.
type WriteResponse struct {
	Version objectstore.Version `json:"version"`
}

// WatchResponse is the response to a watch.
type WatchResponse struct {
	Events  []objectstore.Event `json:"events"`
	Version objectstore.Version `json:"version"`
}

// ReserveResponse is the response to a weight store's reservation. Zero means granted.
type ReserveResponse struct {
	WaitMs int64 `json:"wait_ms"`
}
