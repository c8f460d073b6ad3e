// Package comfreyworks holds the interfaces and the shared types of a router
// for language-model traffic with long, nested, shared prompts.
//
// The package has no behaviour of its own beyond small helpers. Programs live
// in cmd, implementations live below internal in four layers, and each layer
// imports only the ones after it:
//
//	transport     HTTP and RPC servers, process set-up
//	protocol      messages between processes and their clients
//	coordination  decisions that involve several instances
//	state         data that one instance keeps
//
// # Usage
//
// An implementation receives the interfaces it needs in an options struct:
//
//	gate, err := sidecar.New(sidecar.Options{
//		Engine: upstream.NewEngine(address, client),
//		Clock:  clockwork.NewRealClock(),
//	})
//
// Tests pass a fake Clock and the small stand-ins below internal/standin.
package comfreyworks
