// Package streamversion remembers which software version of a service's servers began each
// stream, so that a caller whose connection broke can take its stream up at any daemon.
//
// The daemon that passes on a stream's first event tells a few others, the keepers, which
// every daemon derives from the stream's identity and the membership. A daemon that is asked
// for the rest of a stream looks among its own records and asks the keepers. If nobody knows
// the stream, only a service whose servers had a single version lately leaves no doubt.
//
// A change of the members changes the keepers. Whoever has records of a group hands them on to
// the daemons that have become its keepers, or have started again.
//
// Records are best effort: a lost one costs a stream that could have gone on, never a stream
// of two versions. Nothing of them is durable.
package streamversion
