// Package scenarios embeds the experiments' scenarios and the load tool's
// mixes that are shipped, so that the tool finds them by name.
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

// Names returns the scenarios' names.
func Names() []string { return names(".") }

// Mixes returns the mixes' names.
func Mixes() []string { return names(mixDir) }

// Scenario returns the scenario of the name, or false.
func Scenario(name string) ([]byte, bool) { return read(name) }

// Mix returns the mix of the name, or false.
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
