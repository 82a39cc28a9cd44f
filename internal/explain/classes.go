package explain

import (
	"cmp"
	"slices"
	"time"

	"github.com/lycheekeel/lycheekeel/request"
)

// Class counts the ends of the requests of a route and tier.
type Class struct {
	Route             string
	Tier              int // -1: not known at their end
	Answered, Refused int
}

// Served is the part of the ended requests that was answered.
func (c Class) Served() float64 { return float64(c.Answered) / float64(max(1, c.Answered+c.Refused)) }

// PoolSecond is what pools granted and refused in a second, by tier, and for how long
// the runs that ended held their slots.
type PoolSecond struct {
	At                                          time.Time
	Granted, GrantedLate, Shed, Expired, SlotMs [request.MaxTiers]int
}

type classKey struct {
	route string
	tier  int
}

func (c *LossCollector) class(l Line) *Class {
	k := classKey{text(l, "route"), -1}
	if _, ok := l.Fields["tier"]; ok {
		k.tier = number(l, "tier")
	}
	x := c.classes[k]
	if x == nil && len(c.classes) >= maxRows {
		k = classKey{others, -1}
		x = c.classes[k]
	}
	if x == nil {
		x = &Class{Route: k.route, Tier: k.tier}
		c.classes[k] = x
	}
	return x
}

func (c *LossCollector) poolSecond(l Line) {
	at := l.Time.Truncate(time.Second)
	x := c.pools[at]
	if x == nil {
		if len(c.pools) >= maxRows {
			return // days of seconds
		}
		x = &PoolSecond{At: at}
		c.pools[at] = x
	}
	addTiers(&x.Granted, l, "tier_granted")
	addTiers(&x.GrantedLate, l, "tier_granted_late")
	addTiers(&x.Shed, l, "tier_shed")
	addTiers(&x.Expired, l, "tier_expired")
	addTiers(&x.SlotMs, l, "tier_slot_ms")
}

func addTiers(to *[request.MaxTiers]int, l Line, field string) {
	list, _ := l.Fields[field].([]any)
	for t, v := range list[:min(len(list), len(to))] {
		n, _ := v.(float64)
		to[t] += int(n)
	}
}

func (c *LossCollector) sortedClasses() (out []Class) {
	for _, x := range c.classes {
		out = append(out, *x)
	}
	slices.SortFunc(out, func(a, b Class) int {
		return cmp.Or(cmp.Compare(a.Served(), b.Served()), cmp.Compare(a.Route, b.Route), a.Tier-b.Tier)
	})
	return out
}

func (c *LossCollector) sortedPoolSeconds() (out []PoolSecond) {
	for _, x := range c.pools {
		out = append(out, *x)
	}
	slices.SortFunc(out, func(a, b PoolSecond) int { return a.At.Compare(b.At) })
	return out
}
