// Package version tells which build of the programs runs.
package version

import "runtime/debug"

// Info is what is known of a build.
type Info struct {
	Version string `json:"version"`
	Go      string `json:"go"`
}

// Get returns the running program's build, as the Go toolchain recorded it.
func Get() Info {
	info := Info{Version: "unknown"}
	b, ok := debug.ReadBuildInfo()
	if !ok {
		return info
	}
	info.Go = b.GoVersion
	if b.Main.Version != "" {
		info.Version = b.Main.Version
	}
	for _, s := range b.Settings {
		if s.Key == "vcs.revision" && info.Version == "(devel)" {
			info.Version = s.Value
		}
	}
	return info
}
