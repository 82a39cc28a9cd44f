package gateway

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/lycheekeel/lycheekeel/discovery"
	"github.com/lycheekeel/lycheekeel/internal/gateway/wire"
	"github.com/lycheekeel/lycheekeel/objectstore"
)

// maxHeard bounds the daemons of which it is remembered what they have told.
const maxHeard = 64

// peerServers is what another daemon has told of the servers.
type peerServers struct {
	from     string
	revision objectstore.Version // of that daemon's list
	// isDelta is set if delta has only what has changed since the list that this daemon had
	// after its update or, for a daemon of an earlier version, at the revision base.
	isDelta bool
	update  uint64
	base    objectstore.Version
	delta   discovery.Delta
}

// heardServers is how much a daemon has told of the servers.
type heardServers struct {
	source, number uint64 // of its process, and the newest change that it has told
	base           listBase
}

// listBase says what a daemon's list of servers is relative to another daemon's: the same after
// the update, or not. What has changed there since can be applied to the same list, as long as
// there is no other update.
type listBase struct {
	same   bool
	update uint64
}

func newHeardServers() *simplelru.LRU[string, heardServers] {
	heard, err := simplelru.NewLRU[string, heardServers](maxHeard, nil)
	if err != nil {
		panic(err) // only for a size below 1
	}
	return heard
}

// askServers adds to a poll what this daemon was told by the other one; the state's mutex is
// held.
func (p *peerSync) askServers(name string, req *wire.SyncAsk) {
	h, _ := p.heard.Get(name)
	req.Numbers, req.ServersSource, req.ServersNumber = true, h.source, h.number
	req.ServersWhole = !h.base.same || h.base.update != p.state.serverUpdates
}

// applyServers applies what an answer tells of the servers, and reports whether all of it is
// known now.
func (p *peerSync) applyServers(from string, resp *wire.SyncAnswer) bool {
	h, _ := p.heard.Get(from)
	base, applied := p.state.applyPeerServers(peerServers{
		from: from, revision: objectstore.Version(resp.ServersRevision),
		isDelta: resp.ServersBase > 0 || resp.ServersSince > 0, update: h.base.update, base: objectstore.Version(resp.ServersBase),
		delta: discovery.Delta{Changed: serversFromWire(resp.Servers), Removed: resp.Removed},
	})
	if applied {
		p.heard.Add(from, heardServers{source: resp.ServersSource, number: resp.ServersNumber, base: base})
	}
	return applied
}
