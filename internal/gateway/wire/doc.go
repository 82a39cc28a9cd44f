// Package wire holds the protobuf messages between gateways.
package wire
