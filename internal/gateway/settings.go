package gateway

import (
	"time"

	"github.com/lycheekeel/lycheekeel/internal/settings"
)

// Settings are what a gateway is told when it starts. Addresses are IP:port.
type Settings struct {
	// Name is unique in the cluster.
	Name             string `json:"name" validate:"required,max=63"`
	Region           string `json:"region" validate:"required,max=63"`
	AvailabilityZone string `json:"availability_zone" validate:"required,max=63"`
	// Listen is for callers, Readiness for the balancer, Peer for the other
	// daemons, Metrics for whoever reads the counters; no Metrics: not served.
	Listen    string `json:"listen" validate:"required,hostname_port"`
	Readiness string `json:"readiness" validate:"required,hostname_port"`
	Peer      string `json:"peer" validate:"required,hostname_port"`
	Metrics   string `json:"metrics" validate:"omitempty,hostname_port"`
	// PeerAddress is what the other daemons connect to; empty means Peer.
	PeerAddress string `json:"peer_address" validate:"omitempty,hostname_port"`
	// Seeds are the Peer addresses of a few daemons.
	Seeds []string `json:"seeds" validate:"dive,hostname_port"`
	// Store is the address of the platform's store.
	Store string `json:"store" validate:"required,hostname_port"`
	// LogLevel is debug, info, warning or error; the default is info.
	LogLevel string         `json:"log_level" validate:"omitempty,oneof=debug info warning error"`
	Limits   LimitSettings  `json:"limits"`
	Bounds   BoundsSettings `json:"bounds"`
}

// LimitSettings are what the VM gives.
type LimitSettings struct {
	// MemoryMB bounds the process, in 1,000,000 bytes.
	MemoryMB float64 `json:"memory_mb" validate:"min=16"`
	// CPUCores is the part of a core that the VM has, or how many; LinkMbps
	// what its link carries. Zero: not known.
	CPUCores float64 `json:"cpu_cores" validate:"gte=0"`
	LinkMbps float64 `json:"link_mbps" validate:"gte=0"`
}

// wideLinkMbps is the bandwidth, in Mbit/s, from which on a link does not bound
// what a VM can take on. It only has to be far above what an owner sends: the
// busiest VM of the capacity model exchanges 14.6 KB/s (0.12 Mbit/s).
const wideLinkMbps = 100

// weight is how much the VM can take on beside its callers, as member.Member
// has it; 0 where that is not known.
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

// BoundsSettings are the promises that the operators have made for the whole
// system; those of time are in milliseconds or, where named so, seconds.
type BoundsSettings struct {
	// GraceS is how long a process may go on after SIGTERM.
	GraceS float64 `json:"grace_s" validate:"gt=0"`
	// RevokeMs is how long a withdrawn key may still be accepted.
	RevokeMs float64 `json:"revoke_ms" validate:"gt=0"`
	// RetryRatio and RetrySlack bound, in any window of RetryWindowS, a
	// service's repeated arrivals: ratio x requests + slack, over all daemons.
	RetryRatio   float64 `json:"retry_ratio" validate:"gte=0,lte=1"`
	RetryWindowS float64 `json:"retry_window_s" validate:"gt=0"`
	RetrySlack   float64 `json:"retry_slack" validate:"gte=0"`
	// QuotaOver and QuotaSlack are what may go beyond a quota in any
	// window of QuotaWindowS: (rate x window + burst) x (1 + over) + slack.
	QuotaWindowS float64 `json:"quota_window_s" validate:"gte=0"`
	QuotaOver    float64 `json:"quota_over" validate:"gte=0"`
	QuotaSlack   float64 `json:"quota_slack" validate:"gte=0"`
	// CanaryShare and CanarySlack bound what a bad version may get of a service's
	// requests, from the request for its rollout to the deadline: share x requests +
	// slack, over all daemons. Without a share there are no rollouts.
	CanaryShare float64 `json:"canary_share" validate:"gte=0,lte=1"`
	CanarySlack float64 `json:"canary_slack" validate:"gte=0"`
}

// LoadSettings reads and checks a settings file. Findings come back together.
func LoadSettings(file string) (Settings, error) {
	s, err := settings.Load[Settings](file)
	if s.LogLevel == "" {
		s.LogLevel = "info"
	}
	if s.PeerAddress == "" {
		s.PeerAddress = s.Peer
	}
	return s, err
}

func seconds(s float64) time.Duration       { return time.Duration(s * float64(time.Second)) }
func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
