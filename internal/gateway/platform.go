// Package gateway is the daemon in front of backend servers that register
// themselves in the platform's store: it reads the configuration and the
// servers from there, forwards callers' requests, and stops without cutting
// one off.
package gateway

import (
	"github.com/lycheekeel/lycheekeel/discovery"
	"github.com/lycheekeel/lycheekeel/internal/forward"
	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/rollout"
	"github.com/lycheekeel/lycheekeel/route"
)

// Platform is the port to the platform: its store, and how things are spelled
// there. An adapter fills it.
type Platform struct {
	Store objectstore.ObjectAPI
	// Stale is the same store, for reads that prove no more than that it
	// answers.
	Stale objectstore.StaleReader
	// Status writes the outcomes of rollouts.
	Status objectstore.StatusWriter
	Wire   forward.Wire
	// ReadinessPath is where the balancer asks whether to send callers here.
	ReadinessPath string
	// ConfigurationKind holds the configuration as one object of that name;
	// ServersKind holds an object for each backend server.
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
