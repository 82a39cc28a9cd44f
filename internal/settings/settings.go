// Package settings reads the settings files of the daemons: JSON whose fields
// are checked by their types and their validate tags.
package settings

import (
	"encoding/json"
	"os"

	"github.com/pkg/errors"

	"github.com/lycheekeel/lycheekeel/workspace"
)

// Load reads and checks a file. The error holds all findings together
// (workspace.Findings), or tells why the file can't be read.
func Load[T any](file string) (T, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		var zero T
		return zero, errors.Wrap(err, "read settings")
	}
	return Parse[T](file, data)
}

// Parse reads and checks settings; file only names them in findings. An
// unknown field is a finding like any other: a mistyped name would otherwise
// leave the default in force without a word.
func Parse[T any](file string, data []byte) (T, error) {
	s, findings := workspace.Decode[T](file, data)
	if findings != nil {
		_ = json.Unmarshal(data, &s) // reads what it can, for the checks of values
	}
	for i := range findings {
		findings[i].Warning = false
	}
	findings = append(findings, check(file, &s, findings)...)
	return s, findings.Err()
}
