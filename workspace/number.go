package workspace

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// UnmarshalJSON accepts an integer or the string "${parameter}".
func (n *Number) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err == nil {
		name, ok := parameterName(s)
		if !ok {
			return errors.Errorf("want an integer or \"${parameter}\", not %q", s)
		}
		*n = Number{Parameter: name}
		return nil
	}
	v, err := strconv.ParseInt(string(b), 10, 64)
	if err != nil {
		return errors.Errorf("want an integer or \"${parameter}\", not %s", b)
	}
	*n = Number{Value: v}
	return nil
}

// MarshalJSON writes the form that UnmarshalJSON reads.
func (n Number) MarshalJSON() ([]byte, error) {
	if n.Parameter != "" {
		return json.Marshal("${" + n.Parameter + "}")
	}
	return strconv.AppendInt(nil, n.Value, 10), nil
}

// parameterName returns the name in "${name}".
func parameterName(s string) (string, bool) {
	inner, ok := strings.CutPrefix(s, "${")
	if !ok {
		return "", false
	}
	name, ok := strings.CutSuffix(inner, "}")
	return name, ok && name != ""
}
