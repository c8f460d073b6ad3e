// Program entry is the HTTP server for callers' requests: an OpenAI-compatible API
// for models, and calls to plain services.
//
// # Usage
//
//	entry --config entry.jsonc
package main

import (
	"context"
	"net"
	"os"

	"comfreyworks"
	"comfreyworks/internal/state/memory"
	"comfreyworks/internal/transport/entry"
	"comfreyworks/internal/transport/program"
)

func main() {
	os.Exit(program.Main("entry", comfreyworks.RoleEntry, os.Args[1:], serve))
}

func serve(ctx context.Context, env program.Environment, listener net.Listener) error {
	return entry.New(entry.Options{
		Instance:   env.Instance,
		Deployment: env.Deployment,
		Clock:      env.Clock,
		Logger:     env.Logger,
		Meter:      env.Meter,
		Memory:     memory.ForProcess(int64(env.Instance.MemoryLimit), memory.WholeAnswers, env.Clock, env.Meter),
		HTTP:       env.HTTP,
	}).Run(ctx, listener)
}
