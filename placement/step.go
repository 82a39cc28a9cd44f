package placement

import "slices"

// StepKind is the kind of a Step.
type StepKind string

// The kinds of steps.
const (
	// StepLoad orders the server to load the model version.
	StepLoad StepKind = "load"
	// StepAssign writes the assignment of the server, which is warm, to the pool.
	StepAssign StepKind = "assign"
	// StepFence orders a server that checks tokens to load a model version that it
	// already holds, so that it learns the current token and refuses delayed orders of
	// an earlier controller.
	StepFence StepKind = "assert"
	// StepUnload orders the server to unload the model version.
	StepUnload StepKind = "unload"
)

// Step is one action on a server towards the plan.
type Step struct {
	Kind    StepKind
	Server  string
	Pool    string // for StepAssign
	Model   string
	Version string
}

// Steps compares the servers with the plan and returns the actions that are due. It is
// stateless: a step that was lost, or undone by a delayed order of an earlier
// controller, is returned again as long as it is needed.
//
// A move loads the new model beside the old one, then assigns the server, and unloads
// the old model only when CanUnload is set, so that requests granted by the old pool
// still find it.
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

// serverSteps returns the steps that one server needs to serve the pool.
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
