// Package load generates load against a running fleet, as its callers do, and
// checks the answers against what the stand-in recorded.
//
// # Usage
//
//	fleet := load.Fleet{
//		Callers:   []string{"127.0.0.1:8010"},
//		Operators: []string{"127.0.0.1:8011"},
//		Platform:  "127.0.0.1:7000",
//	}
//	err := load.RunDemo(ctx, fleet, document, os.Stdout)
package load
