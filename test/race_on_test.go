//go:build race

package test

// raceFlags build the programs under test with the race detector too.
var raceFlags = []string{"-race"}
