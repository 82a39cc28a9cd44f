// Package version identifies the build of the running program.
package version

import "runtime/debug"

// Info identifies a build: the version of the module or its VCS revision, and the
// version of Go.
type Info struct {
	Version string `json:"version"`
	Go      string `json:"go"`
}

// Get returns the running program's build, as recorded by the Go toolchain.
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
