package gateway

import (
	"cmp"
	"time"

	"github.com/lycheekeel/lycheekeel/internal/settings"
)

// Settings are the settings of a gateway. Addresses are IP:port.
type Settings struct {
	// Name is unique in the cluster.
	Name             string `json:"name" validate:"required,max=63"`
	Region           string `json:"region" validate:"required,max=63"`
	AvailabilityZone string `json:"availability_zone" validate:"required,max=63"`
	// Listen serves callers, Readiness the balancer, Peer the other daemons and Metrics
	// the counters. Without Metrics they are not served.
	Listen    string `json:"listen" validate:"required,hostname_port"`
	Readiness string `json:"readiness" validate:"required,hostname_port"`
	Peer      string `json:"peer" validate:"required,hostname_port"`
	Metrics   string `json:"metrics" validate:"omitempty,hostname_port"`
	// PeerAddress is the address that other daemons connect to; empty means Peer.
	PeerAddress string `json:"peer_address" validate:"omitempty,hostname_port"`
	// Seeds are the Peer addresses of a few daemons.
	Seeds []string `json:"seeds" validate:"dive,hostname_port"`
	// Store is the address of the platform's store.
	Store string `json:"store" validate:"required,hostname_port"`
	// LogLevel is debug, info, warning or error; the default is info.
	LogLevel   string             `json:"log_level" validate:"omitempty,oneof=debug info warning error"`
	Limits     LimitSettings      `json:"limits"`
	Bounds     BoundsSettings     `json:"bounds"`
	Scheduling SchedulingSettings `json:"scheduling"`
}

// The values of the SchedulingSettings.
const (
	schedulingAuto = "auto"
	schedulingOn   = "on"
	schedulingOff  = "off"
)

// SchedulingSettings say for which services scheduling decisions are enabled that only some
// need: by their routes (auto, the default), for all that the decisions apply to (on) or for
// none (off).
type SchedulingSettings struct {
	// MixedTargets applies to services with a stream route that needs a key, BriefCalls to
	// those without a stream route that have a route that needs a key (route.Traits).
	MixedTargets string `json:"mixed_targets" validate:"omitempty,oneof=auto on off"`
	BriefCalls   string `json:"brief_calls" validate:"omitempty,oneof=auto on off"`
}

// LimitSettings are the resources of the VM.
type LimitSettings struct {
	// MemoryMB is the memory limit of the process in MB (1,000,000 bytes).
	MemoryMB float64 `json:"memory_mb" validate:"min=16"`
	// CPUCores is the number of cores, or the fraction of one; LinkMbps is the bandwidth
	// in Mbit/s. 0: unknown.
	CPUCores float64 `json:"cpu_cores" validate:"gte=0"`
	LinkMbps float64 `json:"link_mbps" validate:"gte=0"`
	// Descriptors is how many file descriptors the process may have open; 0: unknown.
	Descriptors int `json:"descriptors" validate:"gte=0"`
}

const (
	// callerDescriptorShare is the share of the descriptors that callers' connections may
	// have. Those to servers, peers and the store need the others.
	callerDescriptorShare = 0.7
	// callerMemoryShare is the share of the memory that idle connections may use, and
	// idleConnBytes what one takes.
	callerMemoryShare = 0.3
	idleConnBytes     = 16 << 10
)

// maxConnections returns how many connections callers may have; 0: the default.
func (l LimitSettings) maxConnections() int {
	if l.Descriptors == 0 {
		return 0
	}
	return max(1, int(min(callerDescriptorShare*float64(l.Descriptors), callerMemoryShare*l.MemoryMB*1e6/idleConnBytes)))
}

// callerBytesShare is the share of the memory that callers may make the process hold: their
// connections, bodies and answers. The kernel's buffers of the connections are bounded by it
// in turn, as connections count.
const callerBytesShare = 0.25

// callerBytes returns what callers may make the process hold, in bytes.
func (l LimitSettings) callerBytes() int64 { return int64(callerBytesShare * l.MemoryMB * 1e6) }

const (
	// relayMemoryShare is the share of the memory that connections relayed for peers may use.
	relayMemoryShare = 0.25
	// relayedBytes is the most that one of them holds: a stream's window and the buffers.
	relayedBytes = 272 << 10
	// minRelayed is the least number of them that a daemon takes.
	minRelayed = 16
)

// maxRelayed returns how many connections may be relayed for peers at the same time.
func (l LimitSettings) maxRelayed() int {
	return max(minRelayed, int(relayMemoryShare*l.MemoryMB*1e6/relayedBytes))
}

// wideLinkMbps is the bandwidth, in Mbit/s, from which a link does not limit the VM's
// weight. It only has to be far above what a pool's owner sends: the busiest VM of the
// capacity model exchanges 14.6 KB/s (0.12 Mbit/s).
const wideLinkMbps = 100

// weight returns the VM's capacity for cluster work as member.Member.Weight; 0: unknown.
func (l LimitSettings) weight() uint32 {
	if l.CPUCores == 0 {
		return 0
	}
	w := l.CPUCores
	if l.LinkMbps > 0 && l.LinkMbps < wideLinkMbps {
		w *= l.LinkMbps / wideLinkMbps
	}
	return uint32(max(1, w*1000))
}

// BoundsSettings are the guarantees that the operators give for the whole system. A
// name's suffix is the unit: S for seconds, Ms for milliseconds.
type BoundsSettings struct {
	// GraceS is how long a process may run on after SIGTERM.
	GraceS float64 `json:"grace_s" validate:"gt=0"`
	// RevokeMs is how long a withdrawn API key may still be accepted.
	RevokeMs float64 `json:"revoke_ms" validate:"gt=0"`
	// RetryRatio and RetrySlack bound a service's retries over all daemons, in any window
	// of RetryWindowS: ratio x requests + slack.
	RetryRatio   float64 `json:"retry_ratio" validate:"gte=0,lte=1"`
	RetryWindowS float64 `json:"retry_window_s" validate:"gt=0"`
	RetrySlack   float64 `json:"retry_slack" validate:"gte=0"`
	// QuotaOver and QuotaSlack bound what is admitted of a quota in any window of
	// QuotaWindowS: (rate x window + burst) x (1 + over) + slack.
	QuotaWindowS float64 `json:"quota_window_s" validate:"gte=0"`
	QuotaOver    float64 `json:"quota_over" validate:"gte=0"`
	QuotaSlack   float64 `json:"quota_slack" validate:"gte=0"`
	// CanaryShare and CanarySlack bound the requests that a bad version of a service gets
	// over all daemons, from the request for its rollout to the deadline: share x requests
	// + slack. A share of 0 disables rollouts.
	CanaryShare float64 `json:"canary_share" validate:"gte=0,lte=1"`
	CanarySlack float64 `json:"canary_slack" validate:"gte=0"`
}

// LoadSettings reads and validates a settings file. It returns all findings together.
func LoadSettings(file string) (Settings, error) {
	s, err := settings.Load[Settings](file)
	if s.LogLevel == "" {
		s.LogLevel = "info"
	}
	if s.PeerAddress == "" {
		s.PeerAddress = s.Peer
	}
	s.Scheduling.MixedTargets = cmp.Or(s.Scheduling.MixedTargets, schedulingAuto)
	s.Scheduling.BriefCalls = cmp.Or(s.Scheduling.BriefCalls, schedulingAuto)
	return s, err
}

func seconds(s float64) time.Duration       { return time.Duration(s * float64(time.Second)) }
func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
