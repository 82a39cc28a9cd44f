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
		return nil, withExit(ExitUsage, errors.Errorf("say where the object API is, by --platform or %s", envPlatform))
	}
	address = strings.TrimSuffix(strings.TrimPrefix(address, "http://"), "/")
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, withExit(ExitUsage, errors.Errorf("--platform: %q is not IP:port", address))
	}
	return httpobjectstore.New(httpobjectstore.Options{Addr: address}), nil
}

// withPlatformExit gives an error of the object API its exit code and says what
// to do about it.
func withPlatformExit(err error) error {
	switch {
	case errors.Is(err, objectstore.ErrUnknownOutcome):
		return withExit(ExitUnknown, errors.WithMessage(err, "the object API did not answer; look with \"lycheekeel get\" before you try again"))
	case errors.Is(err, objectstore.ErrUnavailable):
		return withExit(ExitUnreachable, errors.WithMessage(err, "the object API can't be reached, nothing was written by this call; check --platform and try again"))
	default:
		return withDefaultExit(err)
	}
}

// operatorKinds are the kinds that operators read, in the order of listings.
func operatorKinds() []objectstore.Kind { return workspace.Kinds() }

// parseKind reads a kind as operators write it: any case, singular or plural.
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
