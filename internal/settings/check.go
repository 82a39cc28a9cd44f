package settings

import (
	"net/netip"
	"reflect"
	"regexp"
	"strings"

	"github.com/go-playground/validator/v10"

	"github.com/lycheekeel/lycheekeel/workspace"
)

// dnsLabel matches one label of a DNS name.
var dnsLabel = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)

// validate checks values by the validate tags of their fields. Besides the library's
// tags it knows ipport (an IP address with a port) and dnsname (one label of a DNS
// name).
var validate = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		return name
	})
	mustRegister(v, "ipport", func(f validator.FieldLevel) bool {
		_, err := netip.ParseAddrPort(f.Field().String())
		return err == nil
	})
	mustRegister(v, "dnsname", func(f validator.FieldLevel) bool {
		return dnsLabel.MatchString(f.Field().String())
	})
	return v
}

func mustRegister(v *validator.Validate, tag string, f validator.Func) {
	if err := v.RegisterValidation(tag, f); err != nil {
		panic(err) // not reached: the tags are valid constants
	}
}

// check returns findings for invalid values. It skips paths that have a finding
// already, because their values were not decoded.
func check(file string, s any, known workspace.Findings) workspace.Findings {
	reported := map[string]bool{}
	for _, f := range known {
		if f.Path == "" {
			return nil // not JSON: nothing was decoded
		}
		reported[f.Path] = true
	}
	var out workspace.Findings
	errs, ok := validate.Struct(s).(validator.ValidationErrors)
	if !ok {
		return nil
	}
	for _, e := range errs {
		_, path, _ := strings.Cut(e.Namespace(), ".")
		if !reported[path] {
			out.Add(file, path, "%s", requirement(e))
		}
	}
	return out
}

// requirement describes which values the failed tag allows.
func requirement(e validator.FieldError) string {
	switch e.Tag() {
	case "required":
		return "must be set"
	case "ipport":
		return "must be an IP address with a port, such as 10.0.0.1:8080"
	case "hostname_port":
		return "must be a host or an IP address with a port, such as 10.0.0.1:8080"
	case "dnsname":
		return "must consist of lower-case letters, digits and inner hyphens"
	case "gt":
		return "must be more than " + e.Param()
	case "oneof":
		return "must be one of: " + e.Param()
	case "min", "gte":
		return "must be at least " + e.Param() + lengthUnit(e)
	case "max", "lte":
		return "must be at most " + e.Param() + lengthUnit(e)
	default:
		return "is not valid (" + e.Tag() + ")"
	}
}

// lengthUnit returns the unit of a limit on a string's length, and "" for numbers.
func lengthUnit(e validator.FieldError) string {
	if e.Kind() == reflect.String {
		return " characters long"
	}
	return ""
}
