// Package test holds the tests that run real processes: daemons, the platform
// stand-in and engine stand-ins, each link behind the fault proxy. Their
// verdicts come from the engines' own run logs and from the answers that
// callers received, never from the daemons' counters.
package test
