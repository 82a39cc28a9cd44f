package engine

import (
	"time"

	"github.com/pkg/errors"

	port "github.com/lycheekeel/lycheekeel/engine"
	"github.com/lycheekeel/lycheekeel/engine/httpengine/wire"
)

// loadedModel is a model that can be served from readyAt on.
type loadedModel struct {
	wire.Model
	readyAt time.Time
}

// OrderRecord is one entry of the order log.
type OrderRecord struct {
	wire.Order
	At      time.Time `json:"at"`
	Refused bool      `json:"refused"` // because of a stale fencing token
}

type loadSample struct {
	load port.LoadReport
	at   time.Time
}

// Orders returns every order that the engine received, oldest first.
func (e *Engine) Orders() []OrderRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]OrderRecord(nil), e.orders...)
}

// serves reports whether the engine serves a model now. An empty version matches
// any version.
func (e *Engine) serves(model, version string, now time.Time) bool {
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

// handleOrder adds an order to the order log and carries it out. It refuses an
// order whose fencing token is lower than the highest one seen, unless
// Faults.IgnoreFencing is set.
func (e *Engine) handleOrder(o port.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	stale := o.Token < e.highestToken && !e.faults.IgnoreFencing
	e.orders = append(e.orders, OrderRecord{Order: wire.Order(o), At: now, Refused: stale})
	if stale {
		return errors.Wrapf(port.ErrStaleToken, "token %d after %d", o.Token, e.highestToken)
	}
	e.highestToken = max(e.highestToken, o.Token)
	e.applyOrder(o, now)
	e.recordLoad(now)
	return nil
}

func (e *Engine) applyOrder(o port.Order, now time.Time) {
	loaded := loadedModel{
		Model:   wire.Model{Model: o.Model, Version: o.Version, Adapter: o.Adapter, Role: o.Role},
		readyAt: now.Add(ms(e.opts.LoadMs)),
	}
	switch o.Kind {
	case port.OrderLoadModel, port.OrderLoadAdapter:
		if !e.hasModel(loaded.Model) {
			e.models = append(e.models, loaded)
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

func (e *Engine) hasModel(m wire.Model) bool {
	for _, loaded := range e.models {
		if loaded.Model == m {
			return true
		}
	}
	return false
}

func removeModel(models []loadedModel, model, version string) []loadedModel {
	var kept []loadedModel
	for _, m := range models {
		if m.Model.Model != model || version != "" && m.Version != version {
			kept = append(kept, m)
		}
	}
	return kept
}

// loadReport returns the current load report, or an earlier one if
// Faults.ReportLagMs is set.
func (e *Engine) loadReport() port.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	lag := ms(e.faults.ReportLagMs)
	if lag == 0 || len(e.loadHistory) == 0 {
		return e.currentLoad(now)
	}
	e.recordLoad(now)
	report := e.loadHistory[0].load
	for _, h := range e.loadHistory {
		if h.at.After(now.Add(-lag)) {
			break
		}
		report = h.load
	}
	report.Age = lag
	return report
}

func (e *Engine) currentLoad(now time.Time) port.LoadReport {
	l := port.LoadReport{
		Running: len(e.batch), Waiting: len(e.waiting), Slots: e.opts.Slots,
		KVUsed:  min(1, float64(e.kvUsed)/float64(e.opts.KVTokens)),
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

// recordLoad adds the current report to the history from which delayed reports
// are taken, and removes those that are no longer needed.
func (e *Engine) recordLoad(now time.Time) {
	lag := ms(e.faults.ReportLagMs)
	if lag == 0 {
		e.loadHistory = nil
		return
	}
	e.loadHistory = append(e.loadHistory, loadSample{e.currentLoad(now), now})
	n := 0
	for n+1 < len(e.loadHistory) && e.loadHistory[n+1].at.Before(now.Add(-lag)) {
		n++
	}
	e.loadHistory = e.loadHistory[n:]
}
