package gateway

import (
	"go.uber.org/zap"

	"comfreyworks"
	"comfreyworks/internal/coordination/forward"
	"comfreyworks/internal/state/crashes"
	"comfreyworks/internal/state/meter"
)

// recordQuarantine logs and counts a request that was not sent, or not sent again,
// because upstreams have crashed under the same request or under a part of its prompt.
func (g *Gateway) recordQuarantine(request *forward.Request, outcome *forward.Outcome) {
	g.options.Logger.Info("request not sent because of quarantine",
		zap.String("request", string(request.Message.ID)),
		zap.String("kind", string(crashes.KindOf(outcome.Suspect))), zap.String("part", outcome.Part),
		zap.String("key", forward.FormatSuspectKey(outcome.Suspect)),
		zap.Strings("ends", forward.FormatEnds(g.crashes.Ends(outcome.Suspect))),
	)
	g.options.Meter.Add("comfrey_quarantined_total", meter.Labels{Class: comfreyworks.Class(request.Route.Name)}, 1)
}
