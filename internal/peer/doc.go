// Package peer is the RPC client and server through which instances exchange
// heartbeats, configurations and registry snapshots.
//
//	srv := peer.NewServer(loop)
//	http.Handle(rpcapi.PeerPathPrefix, rpcapi.NewPeerServer(srv))
package peer
