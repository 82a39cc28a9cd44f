package cli

import (
	"fmt"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/lycheekeel/lycheekeel/internal/daemon"
	"github.com/lycheekeel/lycheekeel/revision"
)

// printConfigStatus prints the active configuration of every member. It returns an
// error if two members differ or one did not answer, so that a script can wait
// until an accepted change is active everywhere.
func (g *globals) printConfigStatus(s daemon.Status) error {
	if g.output == outputJSON {
		if err := g.printJSON(s.Members); err != nil {
			return err
		}
		return checkSameConfiguration(s.Members)
	}
	rows := make([][]string, 0, len(s.Members))
	for _, m := range s.Members {
		rows = append(rows, configRow(m))
	}
	if err := g.printTable([]string{"member", "region", "version", "through", "hash", "confirmed", "watching"}, rows); err != nil {
		return err
	}
	for _, f := range s.Findings {
		fmt.Fprintf(g.stderr, "lycheekeel: not active as stored: %s\n", f)
	}
	return checkSameConfiguration(s.Members)
}

// configRow returns the table row of one member.
func configRow(m daemon.MemberStatus) []string {
	r := m.Configuration
	switch {
	case r == nil:
		return []string{m.Name, m.Region, "-", "-", m.Error, "-", "-"}
	case r.Hash == "":
		return []string{m.Name, m.Region, "none", "-", "-", confirmedAge(r), strconv.FormatBool(r.Watching)}
	default:
		version := strconv.FormatUint(uint64(r.Version), 10)
		through := strconv.FormatUint(uint64(r.Through), 10)
		return []string{m.Name, m.Region, version, through, r.Hash, confirmedAge(r), strconv.FormatBool(r.Watching)}
	}
}

// confirmedAge formats how long ago the object API confirmed the configuration.
func confirmedAge(r *revision.Report) string {
	if r.ConfirmedMs < 0 {
		return "never"
	}
	return (time.Duration(r.ConfirmedMs) * time.Millisecond).Round(100*time.Millisecond).String() + " ago"
}

// checkSameConfiguration returns an error if the members' configurations differ or
// a member did not answer.
func checkSameConfiguration(members []daemon.MemberStatus) error {
	hashes := make(map[string]int)
	unanswered := 0
	for _, m := range members {
		if m.Configuration == nil {
			unanswered++
			continue
		}
		hashes[m.Configuration.Hash]++
	}
	switch {
	case unanswered > 0:
		return errors.Errorf("%d of %d members did not answer", unanswered, len(members))
	case len(hashes) > 1:
		return errors.Errorf("the %d members have %d different active configurations; check again in a few seconds", len(members), len(hashes))
	default:
		return nil
	}
}
