// Package scenarios embeds the shipped experiment scenarios and the traffic
// mixes of the load tool. Both are looked up by name.
package scenarios

import (
	"embed"
	"path"
	"strings"
)

//go:embed *.json mixes/*.json
var files embed.FS

const (
	mixDir    = "mixes"
	extension = ".json"
)

// Names returns the names of all scenarios.
func Names() []string { return names(".") }

// Mixes returns the names of all mixes.
func Mixes() []string { return names(mixDir) }

// Scenario returns the JSON of a scenario, or false if there is none of that name.
func Scenario(name string) ([]byte, bool) { return read(name) }

// Mix returns the JSON of a mix, or false if there is none of that name.
func Mix(name string) ([]byte, bool) { return read(path.Join(mixDir, name)) }

func read(name string) ([]byte, bool) {
	data, err := files.ReadFile(name + extension)
	return data, err == nil
}

func names(dir string) []string {
	entries, err := files.ReadDir(dir)
	if err != nil {
		return nil
	}
	var out []string
	for _, e := range entries {
		if name, ok := strings.CutSuffix(e.Name(), extension); ok && !e.IsDir() {
			out = append(out, name)
		}
	}
	return out
}
