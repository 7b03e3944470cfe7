// Package peer sends CBOR messages between the nodes of a fleet over WebSocket.
//
// A node sends on connections that it dials and receives on connections that
// its peers dial. Both ends authenticate each other with the shared secret.
// Delivery is not guaranteed: a caller that needs an answer must send again. A
// connection that does not answer a ping in time is closed, and the next message
// dials a new one.
//
// # Usage
//
//	hub, err := peer.New(settings, log, onReceive)
//	go hub.Run(ctx)
//	hub.Send("10.0.0.2:7400", fleet.Ping{Round: 1})
package peer
