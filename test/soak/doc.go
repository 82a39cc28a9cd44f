// Package soak runs gateways as real processes and injects random faults, chosen
// by a seed. Processes are terminated, paused, killed and restarted. Connections
// to callers, peers, servers and the store are delayed, reset, cut or made
// silent in one or both directions. The store fails, keys are revoked, and
// servers join, leave and crash. Some runs have streams with mixed targets and brief
// calls, and change these while requests wait. The tests then check what callers and servers
// observed against the gateway's guarantees.
//
//	go test ./test/soak -args -soak.seeds=50 -soak.from=1
package soak
