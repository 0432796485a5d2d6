// Package message defines the messages between processes and converts them to and from the types of other packages.
// The Go code is generated from the proto files in this folder.
package message

//go:generate protoc --go_out=. --go_opt=paths=source_relative --go-drpc_out=. --go-drpc_opt=paths=source_relative message.proto record.proto switch.proto loan.proto revision.proto news.proto
