package report

import (
	"strconv"

	"comfreyworks/internal/bench/rig"
	"comfreyworks/internal/state/settings"
)

// percent formats a ratio as a percentage.
func percent(ratio float64) string {
	return strconv.FormatFloat(100*ratio, 'f', 2, 64) + " %"
}

// CountSideEffects counts the side effects in the plain services of a rig.
func CountSideEffects(r *rig.Rig, deployment *settings.Deployment) SideEffects {
	var effects SideEffects
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
