package workspace

import (
	"fmt"
	"strings"
)

// Finding is one problem of a configuration, with its location.
type Finding struct {
	// File is the file's path or, for a stored object, "Kind/name".
	File string `json:"file"`
	// Path is the JSON path in it, e.g. "tiers[1].first_token_ms".
	Path   string `json:"path"`
	Reason string `json:"reason"`
	// Warning marks a finding that does not prevent the object from becoming
	// active.
	Warning bool `json:"warning,omitempty"`
}

// String returns "file: path: reason", with "warning: " before the reason of a
// warning.
func (f Finding) String() string {
	s := f.File + ": "
	if f.Path != "" {
		s += f.Path + ": "
	}
	if f.Warning {
		s += "warning: "
	}
	return s + f.Reason
}

// Findings are all findings of one check. As an error it lists them one per line.
type Findings []Finding

// Error implements error.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, x := range f {
		lines[i] = x.String()
	}
	return strings.Join(lines, "\n")
}

// Add appends a finding.
func (f *Findings) Add(file, path, format string, args ...any) {
	*f = append(*f, Finding{File: file, Path: path, Reason: fmt.Sprintf(format, args...)})
}

// Warn appends a finding that does not prevent the object from becoming active.
func (f *Findings) Warn(file, path, format string, args ...any) {
	*f = append(*f, Finding{File: file, Path: path, Reason: fmt.Sprintf(format, args...), Warning: true})
}

// Err returns f as an error, or nil if it is empty.
func (f Findings) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// Fatal returns the findings that prevent an object from becoming active, or nil
// if there are only warnings.
func (f Findings) Fatal() Findings {
	var out Findings
	for _, x := range f {
		if !x.Warning {
			out = append(out, x)
		}
	}
	return out
}
