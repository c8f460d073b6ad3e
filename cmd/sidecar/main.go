// Program sidecar runs next to one upstream and sends it the requests that it
// receives from entries.
//
// # Usage
//
//	sidecar --config sidecar.jsonc
package main

import (
	"context"
	"net"
	"os"

	"comfreyworks"
	"comfreyworks/internal/state/memory"
	"comfreyworks/internal/transport/program"
	"comfreyworks/internal/transport/sidecar"
)

func main() {
	os.Exit(program.Main("sidecar", comfreyworks.RoleSidecar, os.Args[1:], serve))
}

func serve(ctx context.Context, env program.Environment, listener net.Listener) error {
	s, err := sidecar.New(sidecar.Options{
		Instance:   env.Instance,
		Deployment: env.Deployment,
		Clock:      env.Clock,
		Logger:     env.Logger,
		Meter:      env.Meter,
		HTTP:       env.HTTP,
		Memory:     memory.ForProcess(int64(env.Instance.MemoryLimit), memory.WholeAnswers, env.Clock, env.Meter),
		Admin:      env.Admin,
	})
	if err != nil {
		return err
	}
	return s.Run(ctx, listener)
}
