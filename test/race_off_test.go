//go:build !race

package test

// raceFlags is empty: without -race the programs are built as released.
var raceFlags []string
