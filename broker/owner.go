package broker

import (
	"github.com/lycheekeel/lycheekeel/internal/peer"
	"github.com/lycheekeel/lycheekeel/internal/poolhost"
	"github.com/lycheekeel/lycheekeel/internal/poolwire"
)

// owner sends messages to the scheduler of a pool: a remote or local owner, or a
// share in degraded mode.
type owner interface {
	hello(h poolwire.Hello) error
	events(b poolwire.Events) error
	// name returns the owner's member name; empty for a share in degraded mode.
	name() string
}

// remoteOwner is an owner in another daemon.
type remoteOwner struct {
	transport peer.Transport
	peer      peer.Name
}

func (o remoteOwner) hello(h poolwire.Hello) error {
	return o.transport.Send(o.peer, peer.TypePoolHello, poolwire.EncodeHello(h))
}

func (o remoteOwner) events(b poolwire.Events) error {
	return o.transport.Send(o.peer, peer.TypePoolEvents, poolwire.EncodeEvents(b))
}

func (o remoteOwner) name() string { return string(o.peer) }

// localOwner is an owner in this daemon.
type localOwner struct {
	host *poolhost.Host
	link *link
}

func (o localOwner) hello(h poolwire.Hello) error {
	o.host.Hello(h, o.reply)
	return nil
}

func (o localOwner) events(b poolwire.Events) error {
	o.host.Events(b, o.reply)
	return nil
}

func (o localOwner) name() string { return o.host.Config().Self }

func (o localOwner) reply(b poolwire.Commands) error {
	o.link.box.Post(commandsMessage{b, o})
	return nil
}

// shareOwner is this daemon's share of the pool in degraded mode.
type shareOwner struct {
	share *poolhost.StaticShare
	link  *link
}

func (o shareOwner) hello(h poolwire.Hello) error {
	o.share.Hello(h, o.reply)
	return nil
}

func (o shareOwner) events(b poolwire.Events) error {
	o.share.Events(b, o.reply)
	return nil
}

func (o shareOwner) name() string { return "" }

func (o shareOwner) reply(b poolwire.Commands) error {
	o.link.box.Post(commandsMessage{b, o})
	return nil
}
