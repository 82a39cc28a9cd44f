package daemon

import (
	"cmp"
	"time"

	"github.com/lycheekeel/lycheekeel/internal/entry"
	"github.com/lycheekeel/lycheekeel/internal/httpconn"
	"github.com/lycheekeel/lycheekeel/internal/settings"
	"github.com/lycheekeel/lycheekeel/service/httpservice"
)

// Settings are the start-up settings of a daemon. What may change while it runs
// is configuration in the object API instead. Addresses are IP:port, times are
// in milliseconds, and a number of zero means the default.
type Settings struct {
	// Name must be unique in the cluster.
	Name             string           `json:"name" validate:"required,max=63,dnsname"`
	Region           string           `json:"region" validate:"required,max=63"`
	AvailabilityZone string           `json:"availability_zone" validate:"required,max=63"`
	Listen           string           `json:"listen" validate:"required,ipport"`
	Admin            string           `json:"admin" validate:"required,ipport"`
	Peer             PeerSettings     `json:"peer"`
	Platform         PlatformSettings `json:"platform"`
	// Placement makes this daemon a candidate for its region's placement
	// controller, which makes the engines load and unload models. Without a
	// controller, models stay where the operators loaded them.
	Placement bool            `json:"placement"`
	Log       LogSettings     `json:"log"`
	Limits    LimitSettings   `json:"limits"`
	Timeouts  TimeoutSettings `json:"timeouts"`
}

// PeerSettings configure how daemons find and authenticate each other.
type PeerSettings struct {
	Listen string `json:"listen" validate:"required,ipport"`
	// Address is the address to which other daemons connect; empty means Listen.
	Address string   `json:"address" validate:"omitempty,ipport"`
	Seeds   []string `json:"seeds" validate:"dive,ipport"`
	// ClusterKeys authenticate the members of the cluster to each other. The
	// daemon presents the first and accepts all, so that a key can be replaced
	// in two rolling restarts.
	ClusterKeys []string `json:"cluster_keys" validate:"required,min=1,dive,min=16"`
}

// PlatformSettings locate the platform's object API, VM list and weight store.
type PlatformSettings struct {
	Address   string `json:"address" validate:"required,ipport"`
	TimeoutMs int    `json:"timeout_ms" validate:"min=0,max=60000"`
}

// LogSettings configure the log, which is written to stderr.
type LogSettings struct {
	Level string `json:"level" validate:"omitempty,oneof=debug info warning error"`
	JSON  bool   `json:"json"`
}

// LimitSettings limit the connections and bytes that the daemon holds for
// callers.
type LimitSettings struct {
	// MemoryMB is the memory limit of the process in MB (1,000,000 bytes); 0: unknown. Without
	// limits of their own, connections and bodies get their share of it.
	MemoryMB        float64 `json:"memory_mb" validate:"omitempty,min=32"`
	MaxConnections  int     `json:"max_connections" validate:"min=0,max=1000000"`
	BodyBytes       int64   `json:"body_bytes" validate:"min=0,max=1099511627776"`
	MaxRequestBytes int     `json:"max_request_bytes" validate:"min=0,max=1073741824"`
}

// TimeoutSettings are timeouts and delays in milliseconds.
type TimeoutSettings struct {
	ReadMs  int `json:"read_ms" validate:"min=0,max=600000"`
	IdleMs  int `json:"idle_ms" validate:"min=0,max=3600000"`
	WriteMs int `json:"write_ms" validate:"min=0,max=600000"`
	// DrainMs is how long a stopping daemon still accepts connections, so that
	// the load balancer can notice that it is not ready.
	DrainMs int `json:"drain_ms" validate:"min=0,max=600000"`
	// StopMs is how long a stopping daemon then waits at most for its requests
	// to end.
	StopMs          int `json:"stop_ms" validate:"min=0,max=3600000"`
	ClaimPatienceMs int `json:"claim_patience_ms" validate:"min=0,max=60000"`
	ResumeMs        int `json:"resume_ms" validate:"min=0,max=600000"`
	RunMs           int `json:"run_ms" validate:"min=0,max=3600000"`
	KeepaliveMs     int `json:"keepalive_ms" validate:"min=0,max=600000"`
	// ConnectMs, SilenceMs and IdleConnectionMs apply to connections to backend
	// servers. ServiceAnswerMs limits how long a plain service may take to
	// answer.
	ConnectMs        int `json:"connect_ms" validate:"min=0,max=60000"`
	SilenceMs        int `json:"silence_ms" validate:"min=0,max=60000"`
	IdleConnectionMs int `json:"idle_connection_ms" validate:"min=0,max=600000"`
	ServiceAnswerMs  int `json:"service_answer_ms" validate:"min=0,max=600000"`
}

// Defaults of the settings that the daemon itself uses. The other defaults are
// those of the components.
const (
	DefaultDrainDelay  = 5 * time.Second
	DefaultStopTimeout = 15 * time.Minute
	DefaultLogLevel    = "info"
)

// LoadSettings reads and checks a settings file. The error holds all findings.
func LoadSettings(file string) (Settings, error) {
	s, err := settings.Load[Settings](file)
	s.setDefaults()
	return s, err
}

func (s *Settings) setDefaults() {
	if s.Peer.Address == "" {
		s.Peer.Address = s.Peer.Listen
	}
	if s.Log.Level == "" {
		s.Log.Level = DefaultLogLevel
	}
}

// milliseconds converts a setting to a duration. Zero stays zero, which selects
// the component's default.
func milliseconds(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }

// orDefault converts a setting to a duration and replaces zero by def.
func orDefault(ms int, def time.Duration) time.Duration {
	if ms == 0 {
		return def
	}
	return milliseconds(ms)
}

const (
	// collectorShare is the garbage collector's soft limit, bodyShare what callers' requests may
	// hold, and connectionShare what their connections may, as shares of the memory.
	collectorShare, bodyShare, connectionShare = 0.5, 0.2, 0.1
	// connectionBytes is what an open connection takes, with the kernel's buffers.
	connectionBytes = 48 << 10
)

// callerLimits returns what callers' requests may hold, in bytes, and how many connections
// callers may have; 0: the entry's defaults.
func (l LimitSettings) callerLimits() (bodyBytes int64, maxConnections int) {
	memory := l.MemoryMB * 1e6
	bodyBytes = cmp.Or(l.BodyBytes, int64(bodyShare*memory))
	return bodyBytes, cmp.Or(l.MaxConnections, int(connectionShare*memory/connectionBytes))
}

// collectorLimit returns the garbage collector's soft limit in bytes; 0: none.
func (l LimitSettings) collectorLimit() int64 { return int64(collectorShare * l.MemoryMB * 1e6) }

// entryLimits returns the limits and timeouts of the entry.
func (s *Settings) entryLimits() entry.Limits {
	t := s.Timeouts
	bodyBytes, maxConnections := s.Limits.callerLimits()
	return entry.Limits{
		ReadTimeout:       milliseconds(t.ReadMs),
		IdleTimeout:       milliseconds(t.IdleMs),
		WriteTimeout:      milliseconds(t.WriteMs),
		MaxConnections:    maxConnections,
		BodyBytes:         bodyBytes,
		MaxRequestBytes:   s.Limits.MaxRequestBytes,
		ClaimSlotTimeout:  milliseconds(t.ClaimPatienceMs),
		ResumeWindow:      milliseconds(t.ResumeMs),
		MaxRunTime:        milliseconds(t.RunMs),
		KeepaliveInterval: milliseconds(t.KeepaliveMs),
	}
}

// engineSettings returns the settings for connections to backend servers.
func (s *Settings) engineSettings() httpconn.Settings {
	t := s.Timeouts
	return httpconn.Settings{
		DialTimeout:    milliseconds(t.ConnectMs),
		SilenceTimeout: milliseconds(t.SilenceMs),
		IdleTimeout:    milliseconds(t.IdleConnectionMs),
	}
}

func (s *Settings) serviceSettings() httpservice.Settings {
	return httpservice.Settings{Settings: s.engineSettings(), ResponseTimeout: milliseconds(s.Timeouts.ServiceAnswerMs)}
}
