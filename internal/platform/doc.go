// Package platform is the HTTP client for the platform's table service, object store
// and host list. It also has in-memory implementations of the table and the object
// store, and an HTTP server for them, for the stand-in and for tests.
//
// # Usage
//
//	client, err := platform.New(platform.Settings{Address: "127.0.0.1:7000", Timeout: time.Second})
//	rows, err := client.Read(ctx, "configuration/head")
//	outcome := client.Commit(ctx, mimosatide.Transaction{Writes: writes})
//	if outcome == mimosatide.CommitUnknown {
//		// no answer: the writes may have taken effect, so read the rows again
//	}
package platform
