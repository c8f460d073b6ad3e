package gateway

import (
	"go.uber.org/zap"

	"comfreyworks"
	"comfreyworks/internal/coordination/forward"
	"comfreyworks/internal/state/meter"
)

// recordQuarantine logs and counts a request that was not sent, or not sent again,
// because of a part of its prompt.
func (g *Gateway) recordQuarantine(request *forward.Request, outcome *forward.Outcome) {
	g.options.Logger.Info("request not sent because of a prompt part",
		zap.String("request", string(request.Message.ID)),
		zap.String("part", outcome.Part),
		zap.String("key", forward.FormatPartKey(forward.PartKey(request.Workspace, outcome.Part))),
	)
	g.options.Meter.Add("comfrey_quarantined_total", meter.Labels{Class: comfreyworks.Class(request.Route.Name)}, 1)
}
