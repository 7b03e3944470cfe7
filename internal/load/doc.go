// Package load sends requests to a running fleet as callers do, and judges what they get.
//
// # Usage
//
//	fleet := load.Fleet{Callers: []string{"127.0.0.1:8010"}, Operators: []string{"127.0.0.1:8011"}, Platform: "127.0.0.1:7000"}
//	err := load.RunDemo(ctx, fleet, document, os.Stdout)
package load
