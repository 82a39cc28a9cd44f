// Package gateway implements the daemon in front of backend servers that register
// themselves in the platform's store. It reads the configuration and the servers from
// the store, forwards callers' requests, and drains them before it stops.
package gateway

import (
	"github.com/lycheekeel/lycheekeel/discovery"
	"github.com/lycheekeel/lycheekeel/internal/forward"
	"github.com/lycheekeel/lycheekeel/internal/httpconn"
	"github.com/lycheekeel/lycheekeel/internal/peer"
	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/rollout"
	"github.com/lycheekeel/lycheekeel/route"
)

// Platform is the port to the platform: its store, its wire format and its encodings.
// An adapter provides it.
type Platform struct {
	Store objectstore.ObjectAPI
	// Stale reads the same store without linearizability; an answer proves only that the
	// store can be reached.
	Stale objectstore.StaleReader
	// Status writes the states of rollouts.
	Status objectstore.StatusWriter
	Wire   forward.Wire
	// DialServer opens connections to backend servers; nil: TCP.
	DialServer httpconn.DialFunc
	// DialPeer opens connections to other daemons; nil: TCP.
	DialPeer peer.DialFunc
	// ReadinessPath is the path of the balancer's readiness checks.
	ReadinessPath string
	// ConfigurationKind holds the configuration, in the object ConfigurationName.
	// ServersKind holds one object for each backend server.
	ConfigurationKind objectstore.Kind
	ConfigurationName string
	ServersKind       objectstore.Kind
	// RolloutsKind holds the operators' rollouts by service.
	RolloutsKind objectstore.Kind

	DecodeConfiguration func(value []byte) (route.Document, error)
	DecodeServer        func(name string, value []byte) (discovery.Server, error)
	DecodeRollout       func(objectstore.Object) (rollout.Rollout, error)
	EncodeOutcome       func(rollout.Rollout) ([]byte, error)
}
