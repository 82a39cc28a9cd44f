package gateway

import (
	"slices"

	"github.com/lycheekeel/lycheekeel/discovery"
	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/rollout"
)

// orders is what a daemon knows of the operators' rollouts, and which servers may
// get requests because of it. It is used with the state's mutex held.
type orders struct {
	// enabled is set where the operators allow rollouts. Without them versions mean
	// nothing, and no call of the store is spent on orders.
	enabled bool
	known   rollout.Orders
	// revision is as of when they are known; 0: they were never read.
	revision objectstore.Version
	versions map[string]*rollout.Versions // by service
	// firstSeen is the directory's revision at which a service's version appeared.
	firstSeen map[serviceVersion]objectstore.Version
	arms      map[serviceVersion]rollout.Arm
	// wanted is told when a version appears for which orders have to be read.
	wanted chan struct{}
}

type serviceVersion struct{ service, version string }

func newOrders(enabled bool) orders {
	return orders{
		enabled: enabled, known: rollout.Orders{}, versions: map[string]*rollout.Versions{},
		firstSeen: map[serviceVersion]objectstore.Version{}, arms: map[serviceVersion]rollout.Arm{},
		wanted: make(chan struct{}, 1),
	}
}

// arm returns what a server is to its service's requests.
func (o *orders) arm(s discovery.Server) rollout.Arm {
	if !o.enabled {
		return rollout.Stable
	}
	return o.arms[serviceVersion{s.Service, s.Version}]
}

// divide works out the arms of all versions of the servers that are there, as of the
// directory's revision.
func (o *orders) divide(servers []discovery.Server, as objectstore.Version) {
	if !o.enabled {
		return
	}
	present := map[string][]string{}
	for _, s := range servers {
		if !slices.Contains(present[s.Service], s.Version) {
			present[s.Service] = append(present[s.Service], s.Version)
		}
		if _, seen := o.firstSeen[serviceVersion{s.Service, s.Version}]; !seen {
			o.firstSeen[serviceVersion{s.Service, s.Version}] = max(as, objectstore.Version(s.Revision))
		}
	}
	clear(o.arms)
	for service, versions := range present {
		for version, arm := range o.armsOf(service, versions) {
			o.arms[serviceVersion{service, version}] = arm
		}
	}
	if o.unvetted() {
		select {
		case o.wanted <- struct{}{}:
		default:
		}
	}
}

func (o *orders) armsOf(service string, versions []string) map[string]rollout.Arm {
	if o.versions[service] == nil {
		o.versions[service] = rollout.NewVersions()
	}
	var order *rollout.Order
	if known, ok := o.known[service]; ok {
		order = &known
	}
	return o.versions[service].Arms(order, versions, func(version string) bool {
		return o.vetted(serviceVersion{service, version})
	})
}

// vetted tells whether the orders are known as of a moment at which servers of the
// version were there already: an order is given before its servers start.
func (o *orders) vetted(v serviceVersion) bool {
	return o.revision > 0 && o.revision >= o.firstSeen[v]
}

// unvetted tells whether servers wait for the orders to be read.
func (o *orders) unvetted() bool {
	for v, arm := range o.arms {
		if arm == rollout.Off && !o.vetted(v) {
			return true
		}
	}
	return false
}

// running tells whether a rollout has no outcome yet.
func (o *orders) running() bool {
	for _, order := range o.known {
		if order.State == rollout.Running {
			return true
		}
	}
	return false
}

// order returns a service's order.
func (s *state) order(service string) (rollout.Order, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.orders.known[service]
	return o, ok
}

// allOrders returns all orders with the revision as of which they are known.
func (s *state) allOrders() ([]rollout.Order, objectstore.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]rollout.Order, 0, len(s.orders.known))
	for _, o := range s.orders.known {
		out = append(out, o)
	}
	return out, s.orders.revision
}

// replaceOrders takes all orders as of a revision, unless newer ones are known.
func (s *state) replaceOrders(all []rollout.Order, as objectstore.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if as < s.orders.revision {
		return
	}
	waited := s.orders.unvetted()
	news := s.orders.known.Replace(all)
	s.orders.revision = as
	if news || waited {
		s.rebuild()
		s.signal()
	}
}

// noteOutcome takes what this daemon has written of an order itself. It proves nothing
// of the other orders.
func (s *state) noteOutcome(o rollout.Order) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known, ok := s.orders.known[o.Service]; ok && known.ID == o.ID && s.orders.known.Put(o) {
		s.rebuild()
		s.signal()
	}
}

// putOrder takes one changed order, removeOrder the withdrawal of one at a revision.
func (s *state) putOrder(o rollout.Order, as objectstore.Version) {
	s.changeOrder(as, func() { s.orders.known.Put(o) })
}

func (s *state) removeOrder(service string, at, as objectstore.Version) {
	s.changeOrder(as, func() {
		if s.orders.known[service].Revision <= uint64(at) {
			delete(s.orders.known, service)
		}
	})
}

// changeOrder takes one of the changes of a watch, which come several at a time with
// the revision after the last.
func (s *state) changeOrder(as objectstore.Version, change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if as < s.orders.revision {
		return
	}
	change()
	s.orders.revision = as
	s.rebuild()
	s.signal()
}

// ordersWanted tells whether orders have to be read often: a rollout runs, or
// servers wait for them.
func (s *state) ordersWanted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.orders.running() || s.orders.unvetted()
}

// facts returns what a rollout's decision needs to know of a service's servers.
func (s *state) facts(service string) rollout.Facts {
	s.mu.Lock()
	defer s.mu.Unlock()
	var f rollout.Facts
	to := s.orders.known[service].To
	for _, x := range s.directory.Servers() {
		if x.Service != service || x.Leaving {
			continue
		}
		switch arm := s.orders.arm(x); {
		case arm == rollout.Off:
		case x.Version != to:
			f.OldServers++
			f.OldSlots += x.Slots
		default:
			f.Serving = arm == rollout.Stable
			f.NewServers++
			f.NewSlots += x.Slots
			if !x.Cold {
				f.WarmServers++
			}
		}
	}
	return f
}

// rebuildPools makes the pools anew: other servers of a version on trial are tried now.
func (s *state) rebuildPools() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rebuild()
}
