// Package wire holds the generated protobuf messages of membership.
package wire

//go:generate sh -c "cd ../.. && protoc --plugin=protoc-gen-go=$(go tool -n protoc-gen-go) --go_out=. --go_opt=module=github.com/lycheekeel/lycheekeel member/wire/member.proto"
