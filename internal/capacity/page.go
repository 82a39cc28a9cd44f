package capacity

import (
	"fmt"
	"sort"
	"strings"

	"github.com/pkg/errors"
)

// Blocks returns the page's generated tables by name.
func Blocks(m *Measurements) (map[string]string, error) {
	blocks := map[string]string{"machine": machineBlock(m), "slopes": slopesBlock(m), "sizes": sizesBlock()}
	for i, s := range Sizes() {
		c := &model{measurements: m, size: s}
		key := [...]string{"punchline", "bang-xanh", "target"}[i]
		blocks["roles-"+key] = c.rolesBlock()
		blocks["control-"+key] = c.controlBlock()
		if key == "target" {
			blocks["store"] = c.storeBlock()
			blocks["failures"] = c.failuresBlock()
			blocks["growth"] = c.growthBlock()
			blocks["mends"] = c.separationBlock()
		}
		if c.err != nil {
			return nil, c.err
		}
	}
	return blocks, nil
}

// Markers around a generated block of the page.
const (
	beginMarker = "<!-- begin: %s -->\n"
	endMarker   = "<!-- end: %s -->"
)

// Render replaces the generated blocks of a page's text. It returns an error if a
// marker is missing.
func Render(page string, m *Measurements) (string, error) {
	blocks, err := Blocks(m)
	if err != nil {
		return "", err
	}
	for name, block := range blocks {
		begin, end := fmt.Sprintf(beginMarker, name), fmt.Sprintf(endMarker, name)
		head, rest, ok := strings.Cut(page, begin)
		if !ok {
			return "", errors.Errorf("page has no marker %q", strings.TrimSpace(begin))
		}
		_, tail, ok := strings.Cut(rest, end)
		if !ok {
			return "", errors.Errorf("page has no marker %q", end)
		}
		page = head + begin + block + end + tail
	}
	return page, nil
}

// table renders a Markdown table.
func table(header []string, rows [][]string) string {
	var b strings.Builder
	line := func(cells []string) { fmt.Fprintf(&b, "| %s |\n", strings.Join(cells, " | ")) }
	line(header)
	separator := make([]string, len(header))
	for i := range separator {
		separator[i] = "---"
	}
	line(separator)
	for _, r := range rows {
		line(r)
	}
	return b.String()
}

func machineBlock(m *Measurements) string {
	return fmt.Sprintf("Measured on %s with %s on %d cores, other programs running beside it.\n",
		m.Machine.Date, m.Machine.Go, m.Machine.Cores)
}

func slopesBlock(m *Measurements) string {
	names := make([]string, 0, len(m.Series))
	for n := range m.Series {
		names = append(names, n)
	}
	sort.Strings(names)
	var rows [][]string
	for _, n := range names {
		s := m.Series[n]
		var points []string
		for _, p := range s.Points {
			points = append(points, fmt.Sprintf("%.4g at %.4g", p.Y, p.X))
		}
		slope := "-"
		if len(s.Points) > 1 {
			slope = fmt.Sprintf("%.3g", s.Slope)
		}
		rows = append(rows, []string{"`" + n + "`", s.Description, s.YUnit, strings.Join(points, "; "), s.XUnit, slope})
	}
	return table([]string{"Series", "What", "Unit", "Measured", "at", "Slope"}, rows)
}

func sizesBlock() string {
	var rows [][]string
	for _, s := range Sizes() {
		rows = append(rows, []string{
			s.Name, formatCount(s.Nodes), formatCount(s.Regions), formatCount(s.Zones), formatCount(s.Servers), formatCount(s.Workspaces),
			formatCount(s.RequestsPerSec), formatCount(s.TokensPerSec), formatCount(s.ChangesPerDay), formatCount(s.PoolsPerRegion()),
			formatCount(s.HotPoolServers()), formatCount(s.HotPoolRequests()), formatCount(s.MaxPoolsPerNode()),
		})
	}
	return table([]string{"Size", "Nodes", "Regions", "Zones", "Servers", "Workspaces", "Requests/s", "Tokens/s",
		"Changes a day", "Pools a region", "Servers in the busiest pool", "Requests/s in it", "Pools on the fullest node"}, rows)
}

// rolesBlock lists all costs of the mean and the worst node.
func (c *model) rolesBlock() string {
	mean, worst := c.nodeCosts(c.meanNodeLoad()), c.nodeCosts(c.worstNodeLoad())
	byName := map[string]NodeCost{}
	for _, i := range mean {
		byName[string(i.Role)+i.Name] = i
	}
	var rows [][]string
	for _, w := range worst {
		m, ok := byName[string(w.Role)+w.Name]
		pair := func(f func(NodeCost) string) string {
			if !ok {
				return "- / " + f(w)
			}
			return f(m) + " / " + f(w)
		}
		kind := "requests"
		if w.Control {
			kind = "control"
		}
		rows = append(rows, []string{string(w.Role), w.Name, kind,
			pair(func(i NodeCost) string { return formatCount(i.Messages) }), pair(func(i NodeCost) string { return formatBytes(i.Bytes) }),
			pair(func(i NodeCost) string { return formatPercent(i.CPU) }), pair(func(i NodeCost) string { return formatBytes(i.Memory) }), w.Mechanism})
	}
	return table([]string{"Role", "Cost", "Kind", "Messages/s", "Sent/s", "Core", "Memory", "Mechanism"}, rows)
}

// controlCost sums up the control costs of a node.
func (c *model) controlCost(l NodeLoad) NodeCost {
	var sum NodeCost
	for _, i := range c.nodeCosts(l) {
		if i.Control {
			sum.Messages += i.Messages
			sum.Bytes += i.Bytes
			sum.CPU += i.CPU
			sum.Memory += i.Memory
		}
	}
	return sum
}

func (c *model) controlBlock() string {
	row := func(name string, i NodeCost) []string {
		return []string{name, formatBounded(i.CPU, ControlBound.CPU, formatPercent), formatBounded(i.Memory, ControlBound.Memory, formatBytes),
			formatBounded(i.Bytes, ControlBound.Bytes, formatBytes)}
	}
	fixed := &model{measurements: c.measurements, size: c.size, fixedHeartbeatInterval: true}
	return table([]string{"Node", "Core", "Memory", "Sent/s"}, [][]string{
		{"bound", formatPercent(ControlBound.CPU), formatBytes(ControlBound.Memory), formatBytes(ControlBound.Bytes)},
		row("mean", c.controlCost(c.meanNodeLoad())), row("worst", c.controlCost(c.worstNodeLoad())),
		row("mean, with fixed heartbeats", fixed.controlCost(fixed.meanNodeLoad())),
		row("worst, with fixed heartbeats", fixed.controlCost(fixed.worstNodeLoad())),
	})
}

func (c *model) storeBlock() string {
	var rows [][]string
	var writes, reads float64
	for _, s := range c.storeCalls() {
		rows = append(rows, []string{s.Name, formatCount(s.Writes), formatCount(s.Reads), s.Mechanism})
		writes += s.Writes
		reads += s.Reads
	}
	rows = append(rows, []string{"all", formatCount(writes), formatCount(reads), "bounds: several hundred writes/s, about 2,000 reads/s"})
	return table([]string{"Use", "Writes/s", "Reads/s", "Mechanism"}, rows)
}

func (c *model) failuresBlock() string {
	var rows [][]string
	for _, f := range c.failures() {
		lost := f.LostStreams / (c.size.RequestsPerSec * c.streamSeconds())
		rows = append(rows, []string{f.Name, f.Frequency, formatCount(f.LostNodes), formatCount(f.LostStreams), formatPercent(lost), formatCount(f.MovedPools),
			formatCount(f.ResentRequests), formatBytes(f.ResentBytes), formatSeconds(f.DetectSeconds), formatSeconds(f.RebuildSeconds)})
	}
	return table([]string{"Failure", "How often", "Daemons gone", "Streams that end with them", "Goodput lost, of all answers under way", "Pools that move",
		"Requests enqueued or reported again", "Sent for it", "Known to the region after", "Work of a new owner for it"}, rows)
}

// growthBlock scales the target and shows where a node's control costs exceed their
// bound.
func (c *model) growthBlock() string {
	var rows [][]string
	for _, factor := range []float64{0.25, 0.5, 1, 2, 4} {
		g := &model{measurements: c.measurements, size: c.size.Scaled(factor)}
		mean, worst := g.controlCost(g.meanNodeLoad()), g.controlCost(g.worstNodeLoad())
		c.err = firstError(c.err, g.err)
		rows = append(rows, []string{formatCount(g.size.Nodes), formatCount(g.size.Servers), formatCount(g.size.Workspaces),
			formatBounded(mean.Bytes, ControlBound.Bytes, formatBytes), formatBounded(worst.Bytes, ControlBound.Bytes, formatBytes),
			formatBounded(worst.CPU, ControlBound.CPU, formatPercent), formatBounded(worst.Memory, ControlBound.Memory, formatBytes)})
	}
	return table([]string{"Nodes", "Servers", "Workspaces", "Sent/s, mean", "Sent/s, worst", "Core, worst", "Memory, worst"}, rows)
}

// separationBlock shows the worst node's control costs if roles were separated: first
// if it owned the busiest pool only, then also without the watch and the placement
// lease. That would need a bound on the pools per node, and a controller that gets the
// servers' state from the pool owners instead of probing them.
func (c *model) separationBlock() string {
	worst := c.worstNodeLoad()
	singlePool := worst
	singlePool.pools, singlePool.servers, singlePool.poolRequests = 1, c.size.HotPoolServers(), c.size.HotPoolRequests()
	separated := singlePool
	separated.holdsPlacementLease, separated.watchesObjectAPI = false, false
	row := func(name string, l NodeLoad) []string {
		sum := c.controlCost(l)
		return []string{name, formatBounded(sum.CPU, ControlBound.CPU, formatPercent), formatBounded(sum.Bytes, ControlBound.Bytes, formatBytes)}
	}
	return table([]string{"Worst node", "Core", "Sent/s"}, [][]string{
		row("as it is", worst), row("owns the busiest pool only", singlePool),
		row("and neither watches nor controls", separated), row("mean node", c.meanNodeLoad()),
	})
}

func firstError(a, b error) error {
	if a != nil {
		return a
	}
	return b
}
