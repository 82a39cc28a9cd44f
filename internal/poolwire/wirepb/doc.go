// Package wirepb is the generated protobuf code of the messages between
// entries and pool owners. Package poolwire converts and validates them.
package wirepb

//go:generate sh -c "go build -o $PWD/.protoc-gen-go google.golang.org/protobuf/cmd/protoc-gen-go && protoc --plugin=protoc-gen-go=$PWD/.protoc-gen-go --go_out=. --go_opt=paths=source_relative pool.proto && rm $PWD/.protoc-gen-go"
