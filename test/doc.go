// Package test holds integration tests that run real processes: daemons, the
// platform stand-in and engine stand-ins. Each connection between them passes
// through a fault proxy. The assertions rest on the engines' own run logs and
// on the answers that callers received, never on the daemons' counters.
package test
