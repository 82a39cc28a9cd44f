package explain

import (
	"cmp"
	"slices"
	"time"

	"github.com/lycheekeel/lycheekeel/request"
)

// Class counts the answered and refused requests of one route and tier.
type Class struct {
	Route             string
	Tier              int // -1 if not known when the request ended
	Answered, Refused int
}

// Served returns the share of the ended requests that were answered, from 0 to 1.
func (c Class) Served() float64 { return float64(c.Answered) / float64(max(1, c.Answered+c.Refused)) }

// PoolSecond counts what all pools together granted and refused in one second, by
// tier. SlotMs is the total time for which the runs that ended held their slots.
type PoolSecond struct {
	At                                          time.Time
	Granted, GrantedLate, Shed, Expired, SlotMs [request.MaxTiers]int
}

type classKey struct {
	route string
	tier  int
}

func (c *LossCollector) classOf(l Line) *Class {
	k := classKey{stringField(l, "route"), -1}
	if _, ok := l.Fields["tier"]; ok {
		k.tier = intField(l, "tier")
	}
	row := c.classes[k]
	if row == nil && len(c.classes) >= maxRows {
		k = classKey{othersRow, -1}
		row = c.classes[k]
	}
	if row == nil {
		row = &Class{Route: k.route, Tier: k.tier}
		c.classes[k] = row
	}
	return row
}

func (c *LossCollector) addPoolSecond(l Line) {
	at := l.Time.Truncate(time.Second)
	row := c.poolSeconds[at]
	if row == nil {
		if len(c.poolSeconds) >= maxRows {
			return // the logs cover more than maxRows seconds with refusals
		}
		row = &PoolSecond{At: at}
		c.poolSeconds[at] = row
	}
	addTiers(&row.Granted, l, "tier_granted")
	addTiers(&row.GrantedLate, l, "tier_granted_late")
	addTiers(&row.Shed, l, "tier_shed")
	addTiers(&row.Expired, l, "tier_expired")
	addTiers(&row.SlotMs, l, "tier_slot_ms")
}

func addTiers(totals *[request.MaxTiers]int, l Line, field string) {
	list, _ := l.Fields[field].([]any)
	for t, v := range list[:min(len(list), len(totals))] {
		n, _ := v.(float64)
		totals[t] += int(n)
	}
}

func (c *LossCollector) sortedClasses() (out []Class) {
	for _, row := range c.classes {
		out = append(out, *row)
	}
	slices.SortFunc(out, func(a, b Class) int {
		return cmp.Or(cmp.Compare(a.Served(), b.Served()), cmp.Compare(a.Route, b.Route), a.Tier-b.Tier)
	})
	return out
}

func (c *LossCollector) sortedPoolSeconds() (out []PoolSecond) {
	for _, row := range c.poolSeconds {
		out = append(out, *row)
	}
	slices.SortFunc(out, func(a, b PoolSecond) int { return a.At.Compare(b.At) })
	return out
}
