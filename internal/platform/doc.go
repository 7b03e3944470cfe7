// Package platform reaches the platform's table service, object store and host
// list, and holds versions of them in memory for the stand-in and for tests.
//
// # Usage
//
//	client, err := platform.New(platform.Settings{Address: "127.0.0.1:7000", Timeout: time.Second})
//	rows, err := client.Read(ctx, "configuration/head")
package platform
