// Package wire holds the generated protobuf messages of the peer protocol.
package wire

//go:generate sh -c "cd ../../.. && protoc --plugin=protoc-gen-go=$(go tool -n protoc-gen-go) --go_out=. --go_opt=module=github.com/lycheekeel/lycheekeel internal/peer/wire/envelope.proto"
