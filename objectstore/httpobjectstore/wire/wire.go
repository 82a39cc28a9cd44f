// Package wire holds the HTTP+JSON wire format of the platform's ports, as
// the HTTP adapter sends it and the platform stand-in answers it. The real
// platform's format is not known yet: only this package and its two users
// change with it.
package wire

import "github.com/lycheekeel/lycheekeel/objectstore"

// The paths of the ports.
const (
	PathObject  = "/api/object"
	PathObjects = "/api/objects"
	PathWatch   = "/api/watch"
	PathVMs     = "/api/vms"
	PathReserve = "/api/weights/reserve"
)

// The query arguments. A write carries either ArgCreate or ArgExpected; its
// body is the raw value.
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

// WriteResponse answers a write.
type WriteResponse struct {
	Version objectstore.Version `json:"version"`
}

// WatchResponse answers a watch.
type WatchResponse struct {
	Events  []objectstore.Event `json:"events"`
	Version objectstore.Version `json:"version"`
}

// ReserveResponse answers a weight store's reservation; zero is a grant.
type ReserveResponse struct {
	WaitMs int64 `json:"wait_ms"`
}
