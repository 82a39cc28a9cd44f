// Package soak runs gateways as real processes and harms them from outside, at
// random by a seed: processes are stopped, paused, killed and restarted,
// connections to callers, peers, servers and the store are delayed, reset, cut
// one way or silenced, the store misbehaves, keys are withdrawn, servers come
// and go. What callers and servers saw is then held against the promises.
//
//	go test ./test/soak -args -soak.seedCount=50 -soak.firstSeed=1
package soak
