// Package peer carries pulses and configurations between instances.
//
//	srv := peer.NewServer(loop)
//	http.Handle(api.PeerPathPrefix, peer.Guard(secret, api.NewPeerServer(srv)))
package peer
