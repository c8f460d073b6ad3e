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

// The sizes of the measurements.
const (
	measuredLevels  = 100_000
	measuredHolders = 2
	measuredKeys    = 50_000
	measuredStreams = 2_000
	measuredTokens  = 256
	measuredRuns    = 20_000
	measuredEvents  = 20_000
	promptKiB       = 48
)

// measureState measures what needs no connection.
func measureState(slopes Slopes) {
	slopes.set(SlopeDirectoryMemory, memoryOf(measuredLevels*measuredHolders, func() any { return fullShard() }), unitBytes)
	slopes.set(SlopeResidencyMemory, memoryOf(measuredLevels, func() any { return fullIndex() }), unitBytes)
	slopes.set(SlopeLedgerMemory, memoryOf(measuredKeys, func() any { return fullLedger() }), unitBytes)
	slopes.set(SlopeStreamMemory, memoryOf(measuredStreams, func() any { return openStreams() }), unitBytes)
	slopes.set(SlopeInstanceMemory, memoryOf(measuredKeys, func() any { return instances(measuredKeys) }), unitBytes)
	slopes.set(SlopeListBytes, listBytes(), unitBytes)
	slopes.set(SlopeClaimBytes, claimBytes(), unitBytes)
	slopes.set(SlopeChangeCPU, changeCPU(), unitNanos)
	slopes.set(SlopeEventCPU, eventCPU(), unitNanos)
	slopes.set(SlopeChainCPU, chainCPU(), unitNanos)
	slopes.set(SlopeReplayCPU, replayCPU(), unitNanos)
}

func changes(from, n int) []comfreyworks.PrefixLevelChange {
	list := make([]comfreyworks.PrefixLevelChange, n)
	for i := range list {
		list[i] = comfreyworks.PrefixLevelChange{Hash: uint64(from+i) * 0x9e3779b97f4a7c15, Root: 1, Tokens: 1024, Held: true}
	}
	return list
}

func fullShard() *directory.Shard {
	shard := directory.New(clockwork.NewRealClock())
	for holder := range measuredHolders {
		shard.Report(comfreyworks.DirectoryReport{
			Instance: comfreyworks.InstanceID(fmt.Sprintf("lm/%d", holder)),
			Full:     true, Sequence: 1, Changes: changes(0, measuredLevels),
		})
	}
	return shard
}

// fullIndex holds levels as prompts of four levels leave them.
func fullIndex() *residency.Index {
	const levelsPerPrompt = 4
	index := residency.New(1, 16)
	for i := range measuredLevels / levelsPerPrompt {
		id, chain, event := storedPrompt(i, levelsPerPrompt)
		index.Expect(id, chain)
		index.Apply(comfreyworks.CacheEvents{Incarnation: 1, Events: []comfreyworks.CacheEvent{event}})
		index.Changes()
	}
	return index
}

// storedPrompt is a prompt with one block for each level.
func storedPrompt(i, levels int) (comfreyworks.RequestID, comfreyworks.PrefixChain, comfreyworks.CacheEvent) {
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

func claimRecord(i int) (ledger.Record, ledger.Record) {
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

func fullLedger() *ledger.Ledger {
	l := ledger.New()
	for i := range measuredKeys {
		claim, outcome := claimRecord(i)
		l.Apply(claim)
		l.Apply(outcome)
	}
	return l
}

func claimBytes() float64 {
	claim, outcome := claimRecord(1)
	first, _ := json.Marshal(claim)
	second, _ := json.Marshal(outcome)
	return float64(len(first) + len(second))
}

// replayCPU folds stored records as an executor does when it starts.
func replayCPU() float64 {
	var stored [][]byte
	for i := range measuredKeys {
		claim, outcome := claimRecord(i)
		for _, record := range []ledger.Record{claim, outcome} {
			text, _ := json.Marshal(record)
			stored = append(stored, text)
		}
	}
	l := ledger.New()
	i := 0
	cost, _ := cpuOf(len(stored), func() error {
		var record ledger.Record
		err := json.Unmarshal(stored[i], &record)
		l.Apply(record)
		i++
		return err
	})
	return cost
}

func openStreams() []*stream.Buffer {
	buffers := make([]*stream.Buffer, measuredStreams)
	for i := range buffers {
		buffers[i] = stream.New()
		for range measuredTokens {
			buffers[i].Append(strings.Clone("word "))
		}
	}
	return buffers
}

func instances(n int) []comfreyworks.Instance {
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

func listBytes() float64 {
	const n = 1000
	text, _ := json.Marshal(instances(n))
	return float64(len(text)) / n
}

func changeCPU() float64 {
	shard := directory.New(clockwork.NewRealClock())
	sequence := uint64(0)
	const perReport = 50
	cost, _ := cpuOf(measuredRuns/perReport, func() error {
		sequence++
		shard.Report(comfreyworks.DirectoryReport{
			Instance: "lm/0", Full: sequence == 1, Sequence: sequence,
			Changes: changes(int(sequence)*perReport, perReport),
		})
		return nil
	})
	return cost / perReport
}

func eventCPU() float64 {
	index := residency.New(1, 16)
	i := 0
	cost, _ := cpuOf(measuredEvents, func() error {
		id, chain, event := storedPrompt(i, 4)
		index.Expect(id, chain)
		index.Apply(comfreyworks.CacheEvents{Incarnation: 1, Events: []comfreyworks.CacheEvent{event}})
		index.Changes()
		i++
		return nil
	})
	return cost
}

func chainCPU() float64 {
	parts := []string{strings.Repeat("guide ", promptKiB<<10/6)}
	cost, _ := cpuOf(measuredRuns/10, func() error {
		prefix.Compute(prefix.Seed{Workspace: "w"}, parts, 4)
		return nil
	})
	return cost / promptKiB
}
