// Package soak holds the random fault soak of the entry nodes on real processes.
//
// The tests build the program, start several nodes, play the platform beside
// them, and disturb them from outside: connections through loopback proxies,
// processes by signals, the store and the targets by their own faults. What
// callers and targets see is checked against the promises while the faults come
// in series and overlap.
//
// # Usage
//
//	go test ./internal/soak -soak.seed 7 -soak.seeds 50 -soak.time 20s
package soak
