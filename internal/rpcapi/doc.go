// Package rpcapi holds the messages between the processes of baobabtally.
//
// They are generated from api.proto by protoc-gen-go and protoc-gen-twirp and
// committed, so that a build needs no generator.
//
//	c := rpcrpcapi.NewAdminProtobufClient("http://127.0.0.1:8080", http.DefaultClient)
package rpcapi
