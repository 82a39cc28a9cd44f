package explain

import "fmt"

// reasonHelp explains each reason of a refusal to operators and says where to
// look next.
var reasonHelp = map[string]string{
	"shed":               "no slot came free within the request's patience; look at the owner's load, and at servers that went in the lines around",
	"workspace_limit":    "the workspace's quota was used up; look at share: below 1 other daemons were silent and kept theirs",
	"expired":            "its time was up; waited_ms tells how much of it was spent waiting for a slot",
	"no_configuration":   "the daemon had no configuration yet, just after its start",
	"store_unavailable":  "the daemon could not prove that its configuration is in force (proof_ms); or the store has not answered this VM itself for as long (store_lost_ms); look for \"Store lost.\" and \"Store does not answer this VM.\"",
	"unauthorized":       "the configuration of that version does not hold the key",
	"unknown_path":       "the configuration of that version has no route for host and path",
	"engine_lost":        "a server got the request and its answer was lost; tries tells each send",
	"engine_refused":     "servers refused or failed and the retry budget was used up; tries tells each send",
	"no_server":          "no server of the service was known",
	"caller_gone":        "the caller closed its connection",
	"body_too_large":     "the body is larger than the configuration allows",
	"no_owner":           "nobody schedules the service's requests",
	"bad_request":        "the request is malformed",
	"entry_memory":       "the daemon held too much already",
	"suspect_busy":       "a request with the same content had crashed servers; one such runs at a time",
	"convicted":          "a request with the same content has crashed several servers",
	"shutting_down":      "the daemon was stopping",
	"engine_unreachable": "no server could be reached",
	"internal":           "a fault of the daemon's own",
}

// Cause describes in one sentence how the request ended and why.
func (t Timeline) Cause() string {
	if len(t.Lines) == 0 {
		return "no log has this request"
	}
	last := t.Lines[len(t.Lines)-1]
	switch last.Message {
	case "Answered.":
		return fmt.Sprintf("answered with status %v after %v ms", last.Fields["status"], last.Fields["total_ms"])
	case "Stream cut.":
		return fmt.Sprintf("its stream was cut after %v events: %v", last.Fields["events"], last.Fields["error"])
	case "Refused.":
		reason, _ := last.Fields["reason"].(string)
		return fmt.Sprintf("refused with status %v, %s (not run: %v): %s", last.Fields["status"], reason, last.Fields["not_run"], reasonHelp[reason])
	case "Still running.":
		return fmt.Sprintf("it ran on after %v ms, at server %v; its end is not in these logs: its VM was killed or cut off from the log, and the server may have run it", last.Fields["total_ms"], last.Fields["server"])
	default:
		return "its end is not in these logs; the daemon may have been killed"
	}
}
