package daemon

import (
	"time"

	"github.com/lycheekeel/lycheekeel/internal/entry"
	"github.com/lycheekeel/lycheekeel/internal/httpconn"
	"github.com/lycheekeel/lycheekeel/internal/settings"
	"github.com/lycheekeel/lycheekeel/service/httpservice"
)

// Settings are what a daemon is told when it starts; everything that may
// change while it runs is configuration in the object API instead. Addresses
// are IP:port, times are in milliseconds, and a zero number means the default.
type Settings struct {
	// Name is unique in the cluster.
	Name             string           `json:"name" validate:"required,max=63,dnsname"`
	Region           string           `json:"region" validate:"required,max=63"`
	AvailabilityZone string           `json:"availability_zone" validate:"required,max=63"`
	Listen           string           `json:"listen" validate:"required,ipport"`
	Admin            string           `json:"admin" validate:"required,ipport"`
	Peer             PeerSettings     `json:"peer"`
	Platform         PlatformSettings `json:"platform"`
	// Placement lets this daemon become its region's placement controller,
	// which orders the engines to load and unload models. Without it, models
	// stay where the operators put them.
	Placement bool            `json:"placement"`
	Log       LogSettings     `json:"log"`
	Limits    LimitSettings   `json:"limits"`
	Timeouts  TimeoutSettings `json:"timeouts"`
}

// PeerSettings say how daemons find and trust each other.
type PeerSettings struct {
	Listen string `json:"listen" validate:"required,ipport"`
	// Address is what other daemons connect to; empty means Listen.
	Address string   `json:"address" validate:"omitempty,ipport"`
	Seeds   []string `json:"seeds" validate:"dive,ipport"`
	// ClusterKeys prove that a peer belongs to the cluster. The first is
	// used, all are accepted, so that a key can be replaced in two rounds.
	ClusterKeys []string `json:"cluster_keys" validate:"required,min=1,dive,min=16"`
}

// PlatformSettings say where the platform's object API, VM list and weight
// store are.
type PlatformSettings struct {
	Address   string `json:"address" validate:"required,ipport"`
	TimeoutMs int    `json:"timeout_ms" validate:"min=0,max=60000"`
}

// LogSettings set up the log, which goes to stderr.
type LogSettings struct {
	Level string `json:"level" validate:"omitempty,oneof=debug info warning error"`
	JSON  bool   `json:"json"`
}

// LimitSettings bound what callers can make the daemon hold.
type LimitSettings struct {
	MaxConnections  int   `json:"max_connections" validate:"min=0,max=1000000"`
	BodyBytes       int64 `json:"body_bytes" validate:"min=0,max=1099511627776"`
	MaxRequestBytes int   `json:"max_request_bytes" validate:"min=0,max=1073741824"`
}

// TimeoutSettings bound waiting, in milliseconds.
type TimeoutSettings struct {
	ReadMs  int `json:"read_ms" validate:"min=0,max=600000"`
	IdleMs  int `json:"idle_ms" validate:"min=0,max=3600000"`
	WriteMs int `json:"write_ms" validate:"min=0,max=600000"`
	// DrainMs is how long a stopping daemon still accepts callers, until the
	// balancer has noticed that it is not ready.
	DrainMs int `json:"drain_ms" validate:"min=0,max=600000"`
	// StopMs bounds how long a stopping daemon then waits for its requests.
	StopMs          int `json:"stop_ms" validate:"min=0,max=3600000"`
	ClaimPatienceMs int `json:"claim_patience_ms" validate:"min=0,max=60000"`
	ResumeMs        int `json:"resume_ms" validate:"min=0,max=600000"`
	RunMs           int `json:"run_ms" validate:"min=0,max=3600000"`
	KeepaliveMs     int `json:"keepalive_ms" validate:"min=0,max=600000"`
	// ConnectMs, SilenceMs and IdleConnectionMs are for connections to
	// backend servers; ServiceAnswerMs is how long a plain service may take.
	ConnectMs        int `json:"connect_ms" validate:"min=0,max=60000"`
	SilenceMs        int `json:"silence_ms" validate:"min=0,max=60000"`
	IdleConnectionMs int `json:"idle_connection_ms" validate:"min=0,max=600000"`
	ServiceAnswerMs  int `json:"service_answer_ms" validate:"min=0,max=600000"`
}

// The defaults of the settings that the daemon itself uses.
const (
	DefaultDrainDelay  = 5 * time.Second
	DefaultStopTimeout = 15 * time.Minute
	DefaultLogLevel    = "info"
)

// LoadSettings reads and checks a settings file. Findings come back together.
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

// milliseconds converts a setting; zero stays zero, for the default.
func milliseconds(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }

// orDefault converts a setting whose default is the daemon's.
func orDefault(ms int, def time.Duration) time.Duration {
	if ms == 0 {
		return def
	}
	return milliseconds(ms)
}

// entryLimits returns the entry's limits.
func (s *Settings) entryLimits() entry.Limits {
	t := s.Timeouts
	return entry.Limits{
		ReadTimeout:       milliseconds(t.ReadMs),
		IdleTimeout:       milliseconds(t.IdleMs),
		WriteTimeout:      milliseconds(t.WriteMs),
		MaxConnections:    s.Limits.MaxConnections,
		BodyBytes:         s.Limits.BodyBytes,
		MaxRequestBytes:   s.Limits.MaxRequestBytes,
		ClaimSlotTimeout:  milliseconds(t.ClaimPatienceMs),
		ResumeWindow:      milliseconds(t.ResumeMs),
		MaxRunTime:        milliseconds(t.RunMs),
		KeepaliveInterval: milliseconds(t.KeepaliveMs),
	}
}

// engineSettings returns the settings of connections to backend servers.
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
