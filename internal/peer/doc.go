// Package peer links the nodes of a fleet by WebSocket and CBOR.
//
// A node sends on a connection that it dials itself and receives on those that
// others dial. Both ends prove that they know the shared secret. Messages may
// be lost; whoever needs an answer asks again. A connection that doesn't
// answer a ping in time is dropped and dialled anew.
//
// # Usage
//
//	hub, err := peer.New(settings, parts)
//	go hub.Run(ctx)
//	hub.Send("10.0.0.2:7400", fleet.Ping{Round: 1})
package peer
