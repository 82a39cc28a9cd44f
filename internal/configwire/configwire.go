// Package configwire holds the protobuf messages that distribute configuration
// between daemons. The generated code is committed; `make generate` recreates it
// from config.proto.
package configwire
