package capacity

import (
	"fmt"
	"sort"
	"strings"

	"github.com/pkg/errors"
)

// Blocks returns the page's generated tables by name.
func Blocks(m *Measured) (map[string]string, error) {
	blocks := map[string]string{"machine": machineBlock(m), "slopes": slopesBlock(m), "sizes": sizesBlock()}
	for i, s := range Sizes() {
		c := &model{m: m, size: s}
		key := [...]string{"punchline", "bang-xanh", "target"}[i]
		blocks["roles-"+key] = c.rolesBlock()
		blocks["control-"+key] = c.controlBlock()
		if key == "target" {
			blocks["store"] = c.storeBlock()
			blocks["failures"] = c.failuresBlock()
			blocks["growth"] = c.growthBlock()
			blocks["mends"] = c.mendsBlock()
		}
		if c.err != nil {
			return nil, c.err
		}
	}
	return blocks, nil
}

// The page's marks around a generated block.
const (
	beginMark = "<!-- begin: %s -->\n"
	endMark   = "<!-- end: %s -->"
)

// Render puts the blocks of a measured file into a page's text. A mark that is
// missing, or a block that is not known, is an error.
func Render(page string, m *Measured) (string, error) {
	blocks, err := Blocks(m)
	if err != nil {
		return "", err
	}
	for name, block := range blocks {
		begin, end := fmt.Sprintf(beginMark, name), fmt.Sprintf(endMark, name)
		head, rest, ok := strings.Cut(page, begin)
		if !ok {
			return "", errors.Errorf("page has no %q", strings.TrimSpace(begin))
		}
		_, tail, ok := strings.Cut(rest, end)
		if !ok {
			return "", errors.Errorf("page has no %q", end)
		}
		page = head + begin + block + end + tail
	}
	return page, nil
}

// table renders rows as Markdown.
func table(header []string, rows [][]string) string {
	var b strings.Builder
	line := func(cells []string) { fmt.Fprintf(&b, "| %s |\n", strings.Join(cells, " | ")) }
	line(header)
	rule := make([]string, len(header))
	for i := range rule {
		rule[i] = "---"
	}
	line(rule)
	for _, r := range rows {
		line(r)
	}
	return b.String()
}

func machineBlock(m *Measured) string {
	return fmt.Sprintf("Measured on %s with %s on %d cores, other programs running beside it.\n",
		m.Machine.Date, m.Machine.Go, m.Machine.Cores)
}

func slopesBlock(m *Measured) string {
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
		rows = append(rows, []string{"`" + n + "`", s.What, s.YUnit, strings.Join(points, "; "), s.XUnit, slope})
	}
	return table([]string{"Series", "What", "Unit", "Measured", "at", "Slope"}, rows)
}

func sizesBlock() string {
	var rows [][]string
	for _, s := range Sizes() {
		rows = append(rows, []string{
			s.Name, number(s.Nodes), number(s.Regions), number(s.Zones), number(s.Servers), number(s.Workspaces),
			number(s.RequestsPerSec), number(s.TokensPerSec), number(s.ChangesPerDay), number(s.PoolsPerRegion()),
			number(s.HotPoolServers()), number(s.HotPoolRequests()), number(s.WorstPoolsOnNode()),
		})
	}
	return table([]string{"Size", "Nodes", "Regions", "Zones", "Servers", "Workspaces", "Requests/s", "Tokens/s",
		"Changes a day", "Pools a region", "Servers in the busiest pool", "Requests/s in it", "Pools on the fullest node"}, rows)
}

// rolesBlock shows every cost of the mean and the worst node.
func (c *model) rolesBlock() string {
	mean, worst := c.items(c.meanNode()), c.items(c.worstNode())
	byName := map[string]Item{}
	for _, i := range mean {
		byName[string(i.Role)+i.Name] = i
	}
	var rows [][]string
	for _, w := range worst {
		m, ok := byName[string(w.Role)+w.Name]
		pair := func(f func(Item) string) string {
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
			pair(func(i Item) string { return number(i.Messages) }), pair(func(i Item) string { return bytesOf(i.Bytes) }),
			pair(func(i Item) string { return percent(i.CPU) }), pair(func(i Item) string { return bytesOf(i.Memory) }), w.Mechanism})
	}
	return table([]string{"Role", "Cost", "Kind", "Messages/s", "Sent/s", "Core", "Memory", "Mechanism"}, rows)
}

// control sums up what a node spends on control.
func (c *model) control(l Load) Item {
	var sum Item
	for _, i := range c.items(l) {
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
	row := func(name string, i Item) []string {
		return []string{name, verdict(i.CPU, ControlBound.CPU, percent), verdict(i.Memory, ControlBound.Memory, bytesOf),
			verdict(i.Bytes, ControlBound.Bytes, bytesOf)}
	}
	before := &model{m: c.m, size: c.size, fixedHeartbeat: true}
	return table([]string{"Node", "Core", "Memory", "Sent/s"}, [][]string{
		{"bound", percent(ControlBound.CPU), bytesOf(ControlBound.Memory), bytesOf(ControlBound.Bytes)},
		row("mean", c.control(c.meanNode())), row("worst", c.control(c.worstNode())),
		row("mean, with fixed heartbeats", before.control(before.meanNode())),
		row("worst, with fixed heartbeats", before.control(before.worstNode())),
	})
}

func (c *model) storeBlock() string {
	var rows [][]string
	var writes, reads float64
	for _, s := range c.storeCalls() {
		rows = append(rows, []string{s.Name, number(s.Writes), number(s.Reads), s.Mechanism})
		writes += s.Writes
		reads += s.Reads
	}
	rows = append(rows, []string{"all", number(writes), number(reads), "bounds: several hundred writes/s, about 2,000 reads/s"})
	return table([]string{"Use", "Writes/s", "Reads/s", "Mechanism"}, rows)
}

func (c *model) failuresBlock() string {
	var rows [][]string
	for _, f := range c.failures() {
		lost := f.LostStreams / (c.size.RequestsPerSec * c.runSeconds())
		rows = append(rows, []string{f.Name, f.Often, number(f.Nodes), number(f.LostStreams), percent(lost), number(f.Moved),
			number(f.Again), bytesOf(f.Bytes), seconds(f.Noticed), seconds(f.Rebuilt)})
	}
	return table([]string{"Failure", "How often", "Daemons gone", "Streams that end with them", "Goodput lost, of all answers under way", "Pools that move",
		"Requests enqueued or reported again", "Sent for it", "Known to the region after", "Work of a new owner for it"}, rows)
}

// growthBlock grows the target's fleet at its own proportions and shows where
// a node's control goes over its bound.
func (c *model) growthBlock() string {
	var rows [][]string
	for _, factor := range []float64{0.25, 0.5, 1, 2, 4} {
		g := &model{m: c.m, size: c.size.Scaled(factor)}
		mean, worst := g.control(g.meanNode()), g.control(g.worstNode())
		c.err = firstError(c.err, g.err)
		rows = append(rows, []string{number(g.size.Nodes), number(g.size.Servers), number(g.size.Workspaces),
			verdict(mean.Bytes, ControlBound.Bytes, bytesOf), verdict(worst.Bytes, ControlBound.Bytes, bytesOf),
			verdict(worst.CPU, ControlBound.CPU, percent), verdict(worst.Memory, ControlBound.Memory, bytesOf)})
	}
	return table([]string{"Nodes", "Servers", "Workspaces", "Sent/s, mean", "Sent/s, worst", "Core, worst", "Memory, worst"}, rows)
}

// mendsBlock shows what the worst node would cost if its parts were kept
// apart: ownership with a bound a node, and a controller that is told by the
// owners what it asks the servers now.
func (c *model) mendsBlock() string {
	worst := c.worstNode()
	one := worst
	one.pools, one.servers, one.poolRequests = 1, c.size.HotPoolServers(), c.size.HotPoolRequests()
	apart := one
	apart.controls, apart.watches = false, false
	row := func(name string, l Load) []string {
		sum := c.control(l)
		return []string{name, verdict(sum.CPU, ControlBound.CPU, percent), verdict(sum.Bytes, ControlBound.Bytes, bytesOf)}
	}
	return table([]string{"Worst node", "Core", "Sent/s"}, [][]string{
		row("as it is", worst), row("owns the busiest pool only", one),
		row("and neither watches nor controls", apart), row("mean node", c.meanNode()),
	})
}

func firstError(a, b error) error {
	if a != nil {
		return a
	}
	return b
}
