package command

import (
	"context"
	"fmt"
	"os"

	"comfreyworks/internal/bench/capacity"
)

// capacityCommand measures the slopes and prints the tables of docs/CAPACITY.md.
type capacityCommand struct {
	ctx context.Context
}

// Execute implements flags.Commander.
func (c *capacityCommand) Execute([]string) error {
	slopes, err := capacity.Measure(c.ctx)
	if err != nil {
		return err
	}
	if err := capacity.WriteSlopes(os.Stdout, slopes); err != nil {
		return err
	}
	fmt.Println()
	return capacity.WriteEstimates(os.Stdout, capacity.EstimateRoles(slopes, capacity.FullSize()))
}
