// Package setting defines the settings of the serve command, with their defaults,
// environment variables and validation. Each section has its own file.
//
// # Usage
//
//	var serve setting.Serve // filled by kong from flags and environment variables
//	faults := serve.Check()
//	if len(faults) == 0 {
//		node.New(serve.Node(), log)
//	}
package setting
