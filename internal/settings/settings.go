// Package settings reads the settings files of the daemons. They are JSON; fields
// are checked by their types and validate tags.
package settings

import (
	"encoding/json"
	"os"

	"github.com/pkg/errors"

	"github.com/lycheekeel/lycheekeel/workspace"
)

// Load reads and checks a file. The error contains all findings
// (workspace.Findings), or says why the file can't be read.
func Load[T any](file string) (T, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		var zero T
		return zero, errors.Wrap(err, "read settings")
	}
	return Parse[T](file, data)
}

// Parse decodes and checks settings; file is the file name used in findings. An
// unknown field is an error, not a warning: otherwise a mistyped name would
// silently leave the default in effect.
func Parse[T any](file string, data []byte) (T, error) {
	s, findings := workspace.Decode[T](file, data)
	if findings != nil {
		_ = json.Unmarshal(data, &s) // decodes as much as possible, so that these values are checked, too
	}
	for i := range findings {
		findings[i].Warning = false
	}
	findings = append(findings, check(file, &s, findings)...)
	return s, findings.Err()
}
