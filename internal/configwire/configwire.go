// Package configwire holds the protobuf messages by which daemons spread
// configuration. The generated code is committed; `make generate` makes it
// anew from config.proto.
package configwire
