// Package comfreyworks defines the interfaces and shared types of a router for
// language-model traffic whose prompts are long and share nested prefixes.
//
// Apart from small helpers the package contains no behaviour. Programs live in
// cmd. Implementations live below internal in four layers, and each layer
// imports only the layers listed after it:
//
//	transport     HTTP and RPC servers, process set-up
//	protocol      messages between processes, and the clients that send them
//	coordination  decisions that involve several instances
//	state         data that one instance keeps
//
// # Usage
//
// An implementation receives its dependencies in an options struct:
//
//	s, err := sidecar.New(sidecar.Options{
//		Instance:   instance,
//		Deployment: deployment,
//		Clock:      clockwork.NewRealClock(),
//		Logger:     logger,
//	})
//
// Tests pass a fake Clock and the test doubles below internal/standin.
package comfreyworks
