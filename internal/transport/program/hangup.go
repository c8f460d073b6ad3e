package program

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

// Hangups returns a channel that receives the SIGHUPs of the process. One that arrives before
// it is called ends the process.
func Hangups() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// CheckOnHangup calls check, which reads the settings again, at each SIGHUP and logs its error.
// The settings are applied only at the start, so this tells the operator whether a restart
// would succeed.
func CheckOnHangup(ctx context.Context, logger *zap.Logger, hangups <-chan os.Signal, check func() error) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var group errgroup.Group
	group.Go(func() error {
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-hangups:
				logger.Info("settings file checked after SIGHUP", zap.Error(check()))
			}
		}
	})
	return func() {
		cancel()
		_ = group.Wait()
	}
}
