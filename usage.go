package comfreyworks

// UsageUnit is what a usage limit counts.
type UsageUnit string

// Units of usage limits.
const (
	// UsageRequests counts requests.
	UsageRequests UsageUnit = "requests"
	// UsageTokens counts prompt tokens and the maximum number of answer tokens.
	UsageTokens UsageUnit = "tokens"
)

// UsageLimit limits what upstreams run for a workspace, over all gateways together.
type UsageLimit struct {
	Unit UsageUnit
	// Rate is the number of units per second; zero means that there is no limit.
	Rate float64
	// Burst is the number of units that may be used at once after a pause.
	Burst float64
	// PlainTokens is the number of tokens of a request that declares none.
	PlainTokens int
}

// UsageCount is what gateways have admitted and refused for a workspace since their
// processes started, in units of its limit.
type UsageCount struct {
	// Workspace is the hash of the name of the workspace.
	Workspace uint32
	// Taken may decrease: a request that no upstream ran returns its amount.
	Taken, Refused int64
	// New is the part of Taken that no relay has confirmed to have received.
	New int64
	// Level is the sender's estimate of what remains of the limit now. It is set only
	// if Known, which means that the sender has been running for long enough to know it.
	Level int64
	Known bool
}
