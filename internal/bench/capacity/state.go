package capacity

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyworks"
	"comfreyworks/internal/state/directory"
	"comfreyworks/internal/state/ledger"
	"comfreyworks/internal/state/prefix"
	"comfreyworks/internal/state/residency"
	"comfreyworks/internal/state/stream"
)

// Sizes of the measured state and numbers of measured operations.
const (
	measuredLevels     = 100_000
	holdersPerLevel    = 2
	measuredKeys       = 50_000
	measuredStreams    = 2_000
	tokensPerStream    = 256
	measuredIterations = 20_000
	measuredEvents     = 20_000
	// promptKiB is the length of the prompt whose hashing is measured, and of each
	// prompt in the estimates.
	promptKiB = 48
)

// measureState measures the slopes that need no connection: the memory of state, the
// size of encoded records, and the CPU time of local operations.
func measureState(slopes Slopes) {
	slopes.set(SlopeDirectoryMemory, memoryPerUnit(measuredLevels*holdersPerLevel, func() any { return filledShard() }), unitBytes)
	slopes.set(SlopeResidencyMemory, memoryPerUnit(measuredLevels, func() any { return filledIndex() }), unitBytes)
	slopes.set(SlopeLedgerMemory, memoryPerUnit(measuredKeys, func() any { return filledLedger() }), unitBytes)
	slopes.set(SlopeStreamMemory, memoryPerUnit(measuredStreams, func() any { return filledBuffers() }), unitBytes)
	slopes.set(SlopeInstanceMemory, memoryPerUnit(measuredKeys, func() any { return instanceList(measuredKeys) }), unitBytes)
	slopes.set(SlopeListBytes, listBytesPerInstance(), unitBytes)
	slopes.set(SlopeClaimBytes, logBytesPerClaimedCall(), unitBytes)
	slopes.set(SlopeChangeCPU, cpuTimePerReportedChange(), unitNanoseconds)
	slopes.set(SlopeEventCPU, cpuTimePerCacheEvent(), unitNanoseconds)
	slopes.set(SlopeChainCPU, cpuTimePerPromptKiB(), unitNanoseconds)
	slopes.set(SlopeReplayCPU, cpuTimePerReplayedRecord(), unitNanoseconds)
}

// levelChanges returns n changes that add the levels numbered from first on, with a
// different hash for each number.
func levelChanges(first, n int) []comfreyworks.PrefixLevelChange {
	list := make([]comfreyworks.PrefixLevelChange, n)
	for i := range list {
		list[i] = comfreyworks.PrefixLevelChange{Hash: uint64(first+i) * 0x9e3779b97f4a7c15, Root: 1, Tokens: 1024, Held: true}
	}
	return list
}

// filledShard returns a shard with measuredLevels levels, each held by
// holdersPerLevel upstreams.
func filledShard() *directory.Shard {
	shard := directory.New(clockwork.NewRealClock())
	for holder := range holdersPerLevel {
		shard.Report(comfreyworks.DirectoryReport{
			Instance: comfreyworks.InstanceID(fmt.Sprintf("lm/%d", holder)),
			Full:     true, Sequence: 1, Changes: levelChanges(0, measuredLevels),
		})
	}
	return shard
}

// filledIndex returns an index with measuredLevels levels, filled by prompts of four
// levels each.
func filledIndex() *residency.Index {
	const levelsPerPrompt = 4
	index := residency.New(1, 16)
	for i := range measuredLevels / levelsPerPrompt {
		id, chain, event := cachedPrompt(i, levelsPerPrompt)
		index.Expect(id, chain)
		index.Apply(comfreyworks.CacheEvents{Incarnation: 1, Events: []comfreyworks.CacheEvent{event}})
		index.Changes()
	}
	return index
}

// cachedPrompt returns the request ID and chain of prompt number i, and the event
// with which an engine reports that it has stored it in one block per level.
func cachedPrompt(i, levels int) (comfreyworks.RequestID, comfreyworks.PrefixChain, comfreyworks.CacheEvent) {
	id := comfreyworks.RequestID(fmt.Sprintf("cmpl-%d", i))
	chain := make(comfreyworks.PrefixChain, levels)
	blocks := make([]uint64, levels)
	for j := range chain {
		hash := uint64(i*levels+j+1) * 0x9e3779b97f4a7c15
		chain[j] = comfreyworks.PrefixLevel{Hash: hash, Tokens: (j + 1) * 16}
		blocks[j] = hash + 1
	}
	return id, chain, comfreyworks.CacheEvent{Sequence: uint64(i + 1), Kind: comfreyworks.BlocksStored, Request: id, Blocks: blocks}
}

// claimRecords returns the claim of call number i and the record of its outcome.
func claimRecords(i int) (ledger.Record, ledger.Record) {
	claim := ledger.Record{
		Kind:   ledger.KindClaim,
		Key:    ledger.Key{Workspace: "office", ID: fmt.Sprintf("0193d0f0-0000-7000-8000-%012d", i)},
		Claim:  fmt.Sprintf("1193d0f0-0000-4000-8000-%012d", i),
		Issued: time.Now(),
		Digest: strings.Repeat("0", 32),
	}
	outcome := claim
	outcome.Kind = ledger.KindOutcome
	outcome.Outcome = &ledger.Outcome{Run: comfreyworks.RunStateRan, Answer: comfreyworks.ServiceAnswer{
		Status: 200, ContentType: "application/json", Body: []byte(strings.Repeat("x", 100)),
	}}
	return claim, outcome
}

// filledLedger returns a ledger with measuredKeys calls that have ended.
func filledLedger() *ledger.Ledger {
	l := ledger.New()
	for i := range measuredKeys {
		claim, outcome := claimRecords(i)
		l.Apply(claim)
		l.Apply(outcome)
	}
	return l
}

// logBytesPerClaimedCall returns the size of the two records of a call.
func logBytesPerClaimedCall() float64 {
	claim, outcome := claimRecords(1)
	first, _ := json.Marshal(claim)
	second, _ := json.Marshal(outcome)
	return float64(len(first) + len(second))
}

// cpuTimePerReplayedRecord measures decoding and applying stored records, as a claim
// executor does when it starts.
func cpuTimePerReplayedRecord() float64 {
	var stored [][]byte
	for i := range measuredKeys {
		claim, outcome := claimRecords(i)
		for _, record := range []ledger.Record{claim, outcome} {
			text, _ := json.Marshal(record)
			stored = append(stored, text)
		}
	}
	l := ledger.New()
	i := 0
	cost, _ := cpuTimePerRun(len(stored), func() error {
		var record ledger.Record
		err := json.Unmarshal(stored[i], &record)
		l.Apply(record)
		i++
		return err
	})
	return cost
}

// filledBuffers returns the buffers of measuredStreams open streams.
func filledBuffers() []*stream.Buffer {
	buffers := make([]*stream.Buffer, measuredStreams)
	for i := range buffers {
		buffers[i] = stream.New()
		for range tokensPerStream {
			buffers[i].Append(strings.Clone("word "))
		}
	}
	return buffers
}

// instanceList returns n instances in 16 pools and 11 zones.
func instanceList(n int) []comfreyworks.Instance {
	list := make([]comfreyworks.Instance, n)
	for i := range list {
		list[i] = comfreyworks.Instance{
			ID:      comfreyworks.InstanceID(fmt.Sprintf("lm-pool-%d/%d", i%16, i)),
			Role:    comfreyworks.RoleSidecar,
			Pool:    comfreyworks.Pool(fmt.Sprintf("lm-pool-%d", i%16)),
			Zone:    comfreyworks.Zone(fmt.Sprintf("zone-%d", i%11)),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 8200),
			State:   comfreyworks.InstanceLive,
		}
	}
	return list
}

// listBytesPerInstance returns the size of one instance in the encoded list.
func listBytesPerInstance() float64 {
	const n = 1000
	text, _ := json.Marshal(instanceList(n))
	return float64(len(text)) / n
}

// cpuTimePerReportedChange measures a shard that receives level changes.
func cpuTimePerReportedChange() float64 {
	shard := directory.New(clockwork.NewRealClock())
	sequence := uint64(0)
	const perReport = 50
	cost, _ := cpuTimePerRun(measuredIterations/perReport, func() error {
		sequence++
		shard.Report(comfreyworks.DirectoryReport{
			Instance: "lm/0", Full: sequence == 1, Sequence: sequence,
			Changes: levelChanges(int(sequence)*perReport, perReport),
		})
		return nil
	})
	return cost / perReport
}

// cpuTimePerCacheEvent measures a residency index that receives the events of
// prompts of four levels.
func cpuTimePerCacheEvent() float64 {
	index := residency.New(1, 16)
	i := 0
	cost, _ := cpuTimePerRun(measuredEvents, func() error {
		id, chain, event := cachedPrompt(i, 4)
		index.Expect(id, chain)
		index.Apply(comfreyworks.CacheEvents{Incarnation: 1, Events: []comfreyworks.CacheEvent{event}})
		index.Changes()
		i++
		return nil
	})
	return cost
}

// cpuTimePerPromptKiB measures computing the prefix chain of a prompt.
func cpuTimePerPromptKiB() float64 {
	parts := []string{strings.Repeat("guide ", promptKiB<<10/6)}
	cost, _ := cpuTimePerRun(measuredIterations/10, func() error {
		prefix.Compute(prefix.Seed{Workspace: "w"}, parts, 4)
		return nil
	})
	return cost / promptKiB
}
