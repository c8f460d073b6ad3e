package report

import (
	"strconv"

	"comfreyworks/internal/bench/rig"
	"comfreyworks/internal/state/settings"
)

// percent formats a share.
func percent(share float64) string {
	return strconv.FormatFloat(100*share, 'f', 2, 64) + " %"
}

// EffectsOf reads what the plain services of a rig ran.
func EffectsOf(r *rig.Rig, deployment *settings.Deployment) Effects {
	var effects Effects
	for i := range deployment.Pools {
		pool := &deployment.Pools[i]
		for call, n := range r.Runs(pool.Name) {
			if call.Key != "" && !pool.Repeatable(call.Method, call.Path) {
				effects.DoubledCalls += max(n-1, 0)
			}
		}
	}
	return effects
}
