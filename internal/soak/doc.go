// Package soak holds a soak test that runs entry nodes as processes under random
// faults.
//
// The test builds the program, starts several nodes against an emulated platform
// and injects overlapping faults: loopback proxies delay, block and reset
// connections, signals pause, kill and reload processes, and the emulated store
// and targets fail. What callers and targets see is checked against the system's
// promises.
//
// # Usage
//
//	go test ./internal/soak -soak.seed 7 -soak.seeds 50 -soak.time 20s
package soak
