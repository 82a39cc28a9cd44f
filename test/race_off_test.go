//go:build !race

package test

// raceFlags are empty: the programs are built as they ship.
var raceFlags []string
