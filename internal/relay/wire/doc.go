// Package wire holds the messages of relayed connections.
package wire
