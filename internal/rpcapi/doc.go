// Package rpcapi contains the RPC services and messages of baobabtally.
//
// The code is generated from api.proto by protoc-gen-go and protoc-gen-twirp, and
// committed, so that a build needs no generator.
//
//	c := rpcapi.NewAdminProtobufClient("http://127.0.0.1:8080", http.DefaultClient)
package rpcapi
