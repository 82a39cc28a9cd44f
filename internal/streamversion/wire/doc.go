// Package wire holds the messages between daemons on the versions of streams.
package wire
