package forward

import (
	"github.com/lycheekeel/lycheekeel/request"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// versionBinding ties a stream to the software version that began it, since what servers of
// two versions write does not fit together.
type versionBinding struct {
	version string // empty: any version may go on
}

// bind ties the stream to a version, unless it is tied to one.
func (b *versionBinding) bind(version string) {
	if b.version == "" {
		b.version = version
	}
}

// setCandidates sets the pools and the version for the next wait for a slot. The error is a
// refusal.
func (x *exchange) setCandidates() error {
	if x.binding.version == "" {
		x.demand.Candidates = x.candidatePools(x.canary.version)
		return nil
	}
	v := x.binding.version
	x.demand.Version, x.canary.version = v, ""
	if x.demand.Candidates = poolsWith(v, x.candidatePools("")); len(x.demand.Candidates) > 0 {
		return nil
	}
	x.demand.Candidates = poolsWith(v, x.candidatePools(v))
	if len(x.demand.Candidates) == 0 || !x.server.deps.Rollouts.ResumeCanary(x.service, x.route.Name) {
		refusal := x.newRefusal(request.ReasonVersionUnavailable, "no server of version %q may go on with the stream", v)
		refusal.RetryAfter = 0
		return refusal
	}
	x.canary.version = v
	return nil
}

// poolsWith returns the pools that have a server of a version.
func poolsWith(version string, pools []*workspace.ResolvedPool) (out []*workspace.ResolvedPool) {
	for _, p := range pools {
		if p.HasVersion(version) {
			out = append(out, p)
		}
	}
	return out
}
