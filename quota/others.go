package quota

import "time"

const (
	// SilentAfter is how long another daemon may say nothing before its share is
	// left to it.
	SilentAfter = 1500 * time.Millisecond
	// doubtAfter is how long it may say nothing before its part of what is left is
	// not used until it is heard again. Daemons that let nothing through are heard less
	// often than each round.
	doubtAfter = time.Second
	// quietAfter is how old a sign may be for a hub to pass it on.
	quietAfter = 600 * time.Millisecond
	// lookEvery is how often it is looked who has fallen silent.
	lookEvery = 50 * time.Millisecond
)

// others are the other daemons that may let requests through, as far as one daemon
// knows, and how much of the rates has accrued by what it heard of them.
//
// The share of a daemon accrues up to its last sign only, all at once when it gives the
// next one: until then it may be cut off and let its share through by itself. One that was
// silent for longer than doubtAfter has kept its share of that time, unless all that it let
// through meanwhile is known.
type others struct {
	heard map[string]time.Time // last signs; zero: none yet
	// assumed is how many daemons there may be while none has been met.
	assumed int

	began   time.Time
	accrued float64 // seconds of the whole rate
	at      time.Time
	looked  time.Time
	// When it was last looked, doubted and silent had said nothing for so long, unmet
	// were not heard yet, and the rest was heard.
	doubted, silent, unmet, fresh int
}

// daemons is how many there are, this one included.
func (o *others) daemons() int { return len(o.heard) + 1 }

// members takes the names of the others. One that is gone for good lets nothing through
// any more.
func (o *others) members(names []string, now time.Time) {
	o.accrue(now)
	known := make(map[string]bool, len(names))
	for _, n := range names {
		known[n] = true
		if _, ok := o.heard[n]; !ok {
			o.heard[n] = time.Time{}
		}
	}
	for n := range o.heard {
		if !known[n] {
			delete(o.heard, n)
		}
	}
	o.count(now)
}

// alive takes a sign of a daemon that was given at a moment. allTold: what it let through
// meanwhile is known, so that its share has accrued however long it was silent. It returns
// for how long it was.
func (o *others) alive(name string, at, now time.Time, allTold bool) (gap time.Duration) {
	before, known := o.heard[name]
	if !known || !at.After(before) {
		return 0
	}
	o.accrue(now)
	*o.counter(before)--
	*o.counter(at)++
	o.heard[name] = at
	if before.IsZero() {
		if allTold { // it has just started, too
			o.accrued += min(at.Sub(o.began), SilentAfter).Seconds() / float64(o.daemons())
		}
		return 0
	}
	gap = at.Sub(before)
	if allTold || gap <= doubtAfter {
		o.accrued += gap.Seconds() / float64(o.daemons())
	}
	return gap
}

// silentAmong is how many of the named had fallen silent when it was last looked.
func (o *others) silentAmong(names []string) int {
	n := 0
	for _, name := range names {
		if at, known := o.heard[name]; known && o.counter(at) == &o.silent {
			n++
		}
	}
	return n
}

// unmetAmong returns those of the named that were never heard.
func (o *others) unmetAmong(names []string) []string {
	var out []string
	for _, name := range names {
		if at, known := o.heard[name]; known && at.IsZero() {
			out = append(out, name)
		}
	}
	return out
}

// caughtUp takes it that the shares of all that are heard have accrued up to now.
func (o *others) caughtUp(now time.Time) {
	for name, at := range o.heard {
		if !at.IsZero() && now.Sub(at) <= SilentAfter {
			*o.counter(at)--
			o.fresh++
			o.heard[name] = now
		}
	}
}

// accrue counts this daemon's own share up to now.
func (o *others) accrue(now time.Time) {
	if now.After(o.at) {
		o.accrued += now.Sub(o.at).Seconds() * o.own()
		o.at = now
	}
}

// own is this daemon's share of the rates.
func (o *others) own() float64 {
	if len(o.heard) == 0 {
		return 1 / float64(o.assumed)
	}
	return 1 / float64(o.daemons())
}

// count looks who says nothing.
func (o *others) count(now time.Time) {
	o.looked = now
	o.doubted, o.silent, o.unmet, o.fresh = 0, 0, 0, 0
	for _, at := range o.heard {
		*o.counter(at)++
	}
}

// counter is the one that holds a daemon whose last sign is of a moment.
func (o *others) counter(at time.Time) *int {
	switch age := o.looked.Sub(at); {
	case at.IsZero():
		return &o.unmet
	case age > SilentAfter:
		return &o.silent
	case age > doubtAfter:
		return &o.doubted
	default:
		return &o.fresh
	}
}

// fellSilent looks again, and returns which part of those that shared what is left has
// fallen silent meanwhile.
func (o *others) fellSilent(now time.Time) float64 {
	before := o.daemons() - o.silent
	o.count(now)
	return max(0, 1-float64(o.daemons()-o.silent)/float64(before))
}

// met is how many are heard, this one included.
func (o *others) met() int { return o.daemons() - o.silent - o.unmet }

// doubt is the part of those that share what is left who have said nothing for a while.
func (o *others) doubt() float64 { return float64(o.doubted) / float64(o.daemons()-o.silent) }

// share is the part of the rates, and of what may be saved, that is left to this daemon
// and to those that it hears: all of it while it hears every other one.
func (o *others) share() float64 {
	if len(o.heard) == 0 {
		return 1 / float64(o.assumed)
	}
	return 1 - float64(o.silent+o.unmet)/float64(o.daemons())
}

// quiet returns those who have given no sign for so long.
func (o *others) quiet(long time.Duration, now time.Time) []string {
	var out []string
	for name, at := range o.heard {
		if at.IsZero() || now.Sub(at) > long {
			out = append(out, name)
		}
	}
	return out
}

// age is how old the signs of those are at most who are not quiet.
func (o *others) age(now time.Time) time.Duration {
	var most time.Duration
	for _, at := range o.heard {
		if age := now.Sub(at); !at.IsZero() && age <= quietAfter {
			most = max(most, age)
		}
	}
	return most
}
