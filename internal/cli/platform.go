package cli

import (
	"net/netip"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/objectstore/httpobjectstore"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// envPlatform is the environment variable for --platform.
const envPlatform = "LYCHEEKEEL_PLATFORM"

// platformFlag adds --platform to a command.
func platformFlag(cmd *kingpin.CmdClause) *string {
	return cmd.Flag("platform", "Object API of the platform (IP:port or http://IP:port).").Envar(envPlatform).String()
}

// openPlatform returns the object API at an address.
func openPlatform(address string) (objectstore.ObjectAPI, error) {
	if address == "" {
		return nil, withExit(ExitUsage, errors.Errorf("no address of the object API: set --platform or %s", envPlatform))
	}
	address = strings.TrimSuffix(strings.TrimPrefix(address, "http://"), "/")
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, withExit(ExitUsage, errors.Errorf("--platform: %q is not IP:port", address))
	}
	return httpobjectstore.New(httpobjectstore.Options{Addr: address}), nil
}

// withPlatformExit gives an error of the object API its exit code and adds what to
// do about it.
func withPlatformExit(err error) error {
	switch {
	case errors.Is(err, objectstore.ErrUnknownOutcome):
		return withExit(ExitUnknown, errors.WithMessage(err, "the object API did not answer; check with \"lycheekeel get\" before trying again"))
	case errors.Is(err, objectstore.ErrUnavailable):
		return withExit(ExitUnreachable, errors.WithMessage(err, "can't reach the object API, this call wrote nothing; check --platform and try again"))
	default:
		return withDefaultExit(err)
	}
}

// operatorKinds returns the kinds of objects that operators manage, in the order
// of listings.
func operatorKinds() []objectstore.Kind { return workspace.Kinds() }

// parseKind parses a kind in any case, singular or plural.
func parseKind(s string) (objectstore.Kind, error) {
	var known []string
	for _, k := range operatorKinds() {
		if strings.EqualFold(s, string(k)) || strings.EqualFold(s, string(k)+"s") {
			return k, nil
		}
		known = append(known, string(k))
	}
	return "", withExit(ExitUsage, errors.Errorf("unknown kind %q, want one of %s", s, strings.Join(known, ", ")))
}
