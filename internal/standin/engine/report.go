package engine

import (
	"time"

	"github.com/pkg/errors"

	port "github.com/lycheekeel/lycheekeel/engine"
	"github.com/lycheekeel/lycheekeel/engine/httpengine/wire"
)

// heldModel is a model that the engine holds from a time on.
type heldModel struct {
	wire.Model
	readyAt time.Time
}

// OrderRecord is one entry of the order log.
type OrderRecord struct {
	wire.Order
	At      time.Time `json:"at"`
	Refused bool      `json:"refused"` // for its old fencing token
}

type timedLoad struct {
	load port.LoadReport
	at   time.Time
}

// Orders returns every order that the engine got, oldest first.
func (e *Engine) Orders() []OrderRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]OrderRecord(nil), e.orders...)
}

// holds reports whether the engine serves a model now. An empty version means
// any.
func (e *Engine) holds(model, version string, now time.Time) bool {
	if len(e.models) == 0 {
		return !e.opts.Empty
	}
	for _, m := range e.models {
		same := m.Version == "" || version == "" || m.Version == version
		if m.Model.Model == model && same && !m.readyAt.After(now) {
			return true
		}
	}
	return false
}

// order obeys an order, unless its fencing token is older than one it has
// seen and the engine heeds fencing tokens.
func (e *Engine) order(o port.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	stale := o.Token < e.fence && !e.faults.IgnoreFencing
	e.orders = append(e.orders, OrderRecord{Order: wire.Order(o), At: now, Refused: stale})
	if stale {
		return errors.Wrapf(port.ErrStaleToken, "token %d after %d", o.Token, e.fence)
	}
	e.fence = max(e.fence, o.Token)
	e.obey(o, now)
	e.remember(now)
	return nil
}

func (e *Engine) obey(o port.Order, now time.Time) {
	held := heldModel{
		Model:   wire.Model{Model: o.Model, Version: o.Version, Adapter: o.Adapter, Role: o.Role},
		readyAt: now.Add(ms(e.opts.LoadMs)),
	}
	switch o.Kind {
	case port.OrderLoadModel, port.OrderLoadAdapter:
		if !e.has(held.Model) {
			e.models = append(e.models, held)
		}
	case port.OrderUnloadModel:
		e.models = removeModel(e.models, o.Model, o.Version)
		e.opts.Empty = e.opts.Empty || len(e.models) == 0
	case port.OrderSetRole:
		for i := range e.models {
			if e.models[i].Model.Model == o.Model {
				e.models[i].Role = o.Role
			}
		}
	case port.OrderDrain:
		e.draining = true
	}
}

func (e *Engine) has(m wire.Model) bool {
	for _, held := range e.models {
		if held.Model == m {
			return true
		}
	}
	return false
}

func removeModel(models []heldModel, model, version string) []heldModel {
	var kept []heldModel
	for _, m := range models {
		if m.Model.Model != model || version != "" && m.Version != version {
			kept = append(kept, m)
		}
	}
	return kept
}

// report returns the load report that the engine shows: a past one where its
// reports lag.
func (e *Engine) report() port.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	lag := ms(e.faults.ReportLagMs)
	if lag == 0 || len(e.history) == 0 {
		return e.current(now)
	}
	e.remember(now)
	shown := e.history[0].load
	for _, h := range e.history {
		if h.at.After(now.Add(-lag)) {
			break
		}
		shown = h.load
	}
	shown.Age = lag
	return shown
}

func (e *Engine) current(now time.Time) port.LoadReport {
	l := port.LoadReport{
		Running: len(e.batch), Waiting: len(e.waiting), Slots: e.opts.Slots,
		KVUsed:  min(1, float64(e.kvHeld)/float64(e.opts.KVTokens)),
		Leaving: e.faults.Leaving || e.draining, Incarnation: e.incarnation,
	}
	for _, m := range e.models {
		if m.readyAt.After(now) {
			l.Warming = true
			continue
		}
		l.Models = append(l.Models, port.LoadedModel(m.Model))
	}
	return l
}

// remember keeps the current report for lagging ones; it forgets those that
// are too old to be shown again.
func (e *Engine) remember(now time.Time) {
	lag := ms(e.faults.ReportLagMs)
	if lag == 0 {
		e.history = nil
		return
	}
	e.history = append(e.history, timedLoad{e.current(now), now})
	n := 0
	for n+1 < len(e.history) && e.history[n+1].at.Before(now.Add(-lag)) {
		n++
	}
	e.history = e.history[n:]
}
