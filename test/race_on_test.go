//go:build race

package test

// raceFlags makes the programs under test use the race detector, as the tests do.
var raceFlags = []string{"-race"}
