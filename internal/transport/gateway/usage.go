package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"comfreyworks"
	"comfreyworks/internal/coordination/usage"
	"comfreyworks/internal/state/meter"
)

const (
	// usageLogInterval is the minimum interval between two log lines about one
	// workspace. A workspace over its limit may be refused thousands of times a second.
	usageLogInterval = time.Second
	// maxListedUsage limits the list of workspaces with usage limits.
	maxListedUsage = 200
	// Reasons with which requests over a usage limit are refused.
	reasonUsage         = "usage limit of the workspace reached"
	reasonUsageTooLarge = "request alone exceeds the usage limit of the workspace"
)

// usageAdmission applies the usage limits of workspaces to requests.
type usageAdmission struct {
	limiter *usage.Limiter
	clock   comfreyworks.Clock
	logger  *zap.Logger
	meter   *meter.Meter

	mu sync.Mutex
	// loggedAt is when a line about a workspace was last logged.
	loggedAt map[comfreyworks.Workspace]time.Time
}

// declaredRouting returns the routing in force, or nil.
func (g *Gateway) declaredRouting() *comfreyworks.Routing {
	table, _ := g.catalog.Routing()
	if table == nil {
		return nil
	}
	return table.Declared()
}

// take takes what a request costs from the limit of its workspace, and returns the
// amount, or the rejection if the limit does not admit it.
func (u *usageAdmission) take(r *http.Request, names *comfreyworks.HeaderNames, route *comfreyworks.Route, workspace *comfreyworks.WorkspaceKeys) (int, *rejection) {
	if workspace == nil || workspace.Limit.Rate <= 0 {
		return 0, nil
	}
	amount, valid := usageAmount(r.Header.Values(names.Tokens), &workspace.Limit)
	if !valid && u.mayLog(workspace.Name) {
		u.logger.Warn("malformed token usage", zap.String("workspace", string(workspace.Name)),
			zap.Strings("header", r.Header.Values(names.Tokens)), zap.Int("counted", amount))
	}
	// The priority of the workspace is the same for all of its requests.
	decision := u.limiter.Admit(workspace.Name, amount, route.Priority)
	labels := meter.Labels{Workspace: workspace.Name}
	if decision.Admitted {
		u.meter.Add("comfrey_usage_taken_total", labels, amount)
		return amount, nil
	}
	u.meter.Add("comfrey_usage_refused_total", labels, amount)
	u.meter.Observe("comfrey_usage_retry_after_seconds", labels, decision.RetryAfter)
	rejected := &rejection{http.StatusTooManyRequests, reasonUsage, decision.RetryAfter}
	if decision.TooLarge {
		rejected.reason, rejected.retryAfter = reasonUsageTooLarge, 0
	}
	if u.mayLog(workspace.Name) {
		u.logger.Warn("usage limit reached", zap.String("workspace", string(workspace.Name)),
			zap.String("request", r.Header.Get(names.RequestID)), zap.Int("amount", amount), zap.Int("priority", route.Priority),
			zap.Float64("rate", workspace.Limit.Rate), zap.Float64("burst", workspace.Limit.Burst), zap.Float64("level", decision.Usage.Level),
			zap.Float64("used", decision.Usage.Window), zap.Float64("share", decision.Usage.Share), zap.Duration("retry-after", decision.RetryAfter))
	}
	return 0, rejected
}

// listedUsage is an entry of the list of workspaces with usage limits, in units of the
// limit.
type listedUsage struct {
	Workspace comfreyworks.Workspace `json:"workspace"`
	Rate      float64                `json:"rate"`
	Burst     float64                `json:"burst"`
	// Level is what remains now, Used what all gateways admitted in the last window.
	Level float64 `json:"level"`
	Used  float64 `json:"used"`
	// Share is the part of the rate that this gateway may use when little remains.
	Share float64 `json:"share"`
	// Taken and Refused count since the start, here and at the leaves of this gateway.
	Taken   int64 `json:"taken"`
	Refused int64 `json:"refused"`
}

// list lists the workspaces with usage limits, those first of which the least remains.
func (u *usageAdmission) list(w http.ResponseWriter, _ *http.Request) {
	listed := []listedUsage{}
	for _, entry := range u.limiter.List(maxListedUsage) {
		listed = append(listed, listedUsage{
			entry.Workspace, entry.Rate, entry.Burst, entry.Usage.Level, entry.Usage.Window, entry.Usage.Share, entry.Taken, entry.Refused,
		})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(listed)
}

// giveBack returns what was taken for a request that no upstream ran.
func (u *usageAdmission) giveBack(workspace *comfreyworks.WorkspaceKeys, amount int) {
	if workspace == nil || amount == 0 {
		return
	}
	u.limiter.Return(workspace.Name, amount)
	u.meter.Add("comfrey_usage_returned_total", meter.Labels{Workspace: workspace.Name}, amount)
}

// mayLog reports whether a line about a workspace may be logged now.
func (u *usageAdmission) mayLog(workspace comfreyworks.Workspace) bool {
	now := u.clock.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	if last, ok := u.loggedAt[workspace]; ok && now.Sub(last) < usageLogInterval {
		return false
	}
	u.loggedAt[workspace] = now
	return true
}

// usageAmount returns what a request costs, given the values of the header with its
// prompt tokens and maximum answer tokens. It returns false if the header is malformed;
// the amount is then what can be read of it, and at least that of a request without it.
func usageAmount(values []string, limit *comfreyworks.UsageLimit) (amount int, valid bool) {
	if limit.Unit != comfreyworks.UsageTokens {
		return 1, true
	}
	plain := max(limit.PlainTokens, 1)
	if len(values) == 0 {
		return plain, true
	}
	valid = len(values) == 1
	for _, value := range values {
		sum := 0
		numbers := strings.Split(value, ",")
		valid = valid && len(numbers) == 2
		for _, text := range numbers[:min(len(numbers), 2)] {
			n, ok := readTokens(strings.TrimSpace(text))
			sum, valid = sum+n, valid && ok
		}
		amount = max(amount, sum)
	}
	if !valid {
		amount = max(amount, plain)
	}
	return amount, valid
}

// readTokens reads a number of tokens. What is too high counts as the maximum, and what
// is no number as zero.
func readTokens(text string) (n int, valid bool) {
	number, err := strconv.ParseFloat(text, 64)
	if number > comfreyworks.MaxPromptTokens {
		return comfreyworks.MaxPromptTokens, false
	}
	if err != nil || !(number >= 0) {
		return 0, false
	}
	return int(number), number == float64(int(number))
}
