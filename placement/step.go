package placement

import "slices"

// StepKind is what to do about one server.
type StepKind string

// The steps.
const (
	// StepLoad orders the server to load the model version.
	StepLoad StepKind = "load"
	// StepAssign writes that the server serves the pool: it is warm.
	StepAssign StepKind = "assign"
	// StepFence orders a server that checks tokens to hold what it holds, so
	// that it learns the present token and refuses an earlier controller's
	// order that is still on its way.
	StepFence StepKind = "assert"
	// StepUnload orders the server to unload the model version.
	StepUnload StepKind = "unload"
)

// Step is one act that brings a server nearer to the plan.
type Step struct {
	Kind    StepKind
	Server  string
	Pool    string // for StepAssign
	Model   string
	Version string
}

// Steps compares what servers hold with what they should, and returns what to
// do now. It remembers nothing: a step that was lost, or undone by the late
// order of an earlier controller, comes back while it is still needed.
//
// A move loads the new model beside the old one, then assigns, and unloads the
// old one only when the server has settled, so that a request granted by the
// old pool still finds its model.
func Steps(in Input, moves []Move) []Step {
	pools := map[string]*Pool{}
	for i := range in.Pools {
		pools[in.Pools[i].Name] = &in.Pools[i]
	}
	destination := map[string]string{}
	for _, m := range moves {
		destination[m.Server] = m.To
	}
	var out []Step
	for i := range in.Servers {
		s := &in.Servers[i]
		poolName, moves := destination[s.Name]
		if !moves {
			poolName = s.Pool
		}
		p := pools[poolName]
		if p == nil || !s.usable() || s.Warming {
			continue
		}
		out = append(out, serverSteps(s, p)...)
	}
	return out
}

// serverSteps returns what one server needs to serve the pool.
func serverSteps(s *Server, p *Pool) []Step {
	switch {
	case !s.holds(p):
		return []Step{{Kind: StepLoad, Server: s.Name, Model: p.Model, Version: p.Version}}
	case s.ChecksTokens && !s.Fenced:
		return []Step{{Kind: StepFence, Server: s.Name, Model: p.Model, Version: p.Version}}
	case s.Pool != p.Name:
		return []Step{{Kind: StepAssign, Server: s.Name, Pool: p.Name}}
	case !s.CanUnload:
		return nil
	}
	var out []Step
	for _, m := range s.Models {
		if m.Model != p.Model || m.Version != p.Version {
			step := Step{Kind: StepUnload, Server: s.Name, Model: m.Model, Version: m.Version}
			if !slices.Contains(out, step) {
				out = append(out, step)
			}
		}
	}
	return out
}
