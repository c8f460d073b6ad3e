package trouble

import (
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyworks/cmd/soak/internal/check"
	"comfreyworks/cmd/soak/internal/fleet"
	"comfreyworks/internal/standin/replica"
)

const (
	length   = 12 * time.Second
	gateways = 3
)

// TestPlanIsDeterminedBySeed guards against seeds whose failures cannot be repeated.
func TestPlanIsDeterminedBySeed(t *testing.T) {
	for seed := range uint64(20) {
		assert.DeepEqual(t, NewPlan(seed, length, gateways, fleet.Slots), NewPlan(seed, length, gateways, fleet.Slots))
	}
}

// TestReleases guards against releases that do not overlap with the loss of gateways.
func TestReleases(t *testing.T) {
	perSeed, kills, back := make(map[int]int), make(map[Kind]int), 0
	for seed := range uint64(100) {
		events := newReleases(seed, length, gateways, &Event{})
		perSeed[len(events)/2]++
		previous := fleet.Releases[0]
		for i := 0; i < len(events); i += 2 {
			release, kill := events[i], events[i+1]
			assert.Equal(t, release.Kind, Release)
			assert.Assert(t, release.Release != previous)
			assert.Assert(t, kill.Start >= release.Start && kill.Start <= release.Start+release.Duration+maxKillDelay)
			kills[kill.Kind]++
			if previous = release.Release; previous == fleet.Releases[0] {
				back++
			}
		}
	}
	assert.Equal(t, len(perSeed), maxReleases+1)
	assert.Assert(t, kills[Kill] > 0 && kills[KillAll] > 0 && len(kills) == 2)
	assert.Assert(t, back > 0)
}

// TestReleasesSpareCut guards against seeds that no longer detect gateways that accept
// old keys, because none of them is left when the keys expire.
func TestReleasesSpareCut(t *testing.T) {
	cut := Event{Kind: StorePartition, Start: 3 * time.Second, Duration: partitionDuration}
	for seed := range uint64(100) {
		for _, event := range newReleases(seed, length, gateways, &cut) {
			assert.Assert(t, event.Kind == Release || event.Start >= cut.Start+cut.Duration || event.Start+event.Duration <= cut.Start)
		}
	}
}

// TestEveryKindIsDrawn guards against kinds of events that no seed contains.
func TestEveryKindIsDrawn(t *testing.T) {
	drawn, faults := make(map[Kind]bool), make(map[replica.Fault]bool)
	for seed := range uint64(20) {
		events := NewPlan(seed, length, gateways, fleet.Slots).Events
		for i := range events {
			drawn[events[i].Kind] = true
			faults[events[i].Fault] = true
		}
	}
	for _, kind := range append([]Kind{StoreRestored, ReplicaLeaves, ReplicaCloses, Release, RevokeKey, Harm, Silence, RewriteConfigs, StartAtLeaving, EndlessAnswers, Crowd}, kinds...) {
		assert.Assert(t, drawn[kind], "%s", kind)
	}
	for _, fault := range slices.Concat(unframedFaults, repeatedFaults, brokenHeadFaults, replicaFaults) {
		assert.Assert(t, faults[fault], "%s", fault)
	}
}

// TestDisturbances guards against disturbances of gateways that the checks of advice do
// not know of.
func TestDisturbances(t *testing.T) {
	at := time.Unix(100, 0)
	plan := Plan{Events: []Event{
		{Kind: Kill, Start: time.Second, Duration: time.Second, Gateway: 1},
		{Kind: KillAll, Start: time.Second, Duration: time.Second, Gateway: 1},
		{Kind: Terminate, Start: time.Second, Duration: time.Second},
		{Kind: ReplicaDraining, Start: time.Second, Duration: time.Second},
	}}
	from, to := at.Add(time.Second), at.Add(2*time.Second)
	assert.DeepEqual(t, plan.Disturbances(at), []check.Disturbance{
		{Gateway: 1, Replica: -1, From: from, To: to},
		{Gateway: -1, Replica: -1, From: from, To: to},
		{Gateway: 0, Replica: -1, From: from, To: to.Add(fleet.StopGrace)},
	})
}

// TestHarmful guards against rows of the table that no seed draws, that routes of the fleet
// do not serve, or whose requests have nothing in common.
func TestHarmful(t *testing.T) {
	drawn := make(map[string]bool)
	for seed := range uint64(100) {
		plan := Plan{}
		plan.addHarm(seed, length)
		assert.Equal(t, len(plan.Events), fleet.HarmSources)
		for i := range plan.Events {
			drawn[plan.Events[i].Harmful.Name] = true
		}
	}
	for source, rows := range harmful {
		for _, h := range rows {
			t.Run(h.Name, func(t *testing.T) {
				assert.Assert(t, drawn[h.Name])
				h.ID = "id"
				assert.Equal(t, h.IsWholeRequest(), source > 0)
				for _, target := range h.Targets {
					expanded := h.Expand(target+h.Prompt, "r")
					assert.Assert(t, strings.Contains(expanded, "id") && strings.Contains("book read note brief", strings.Split(expanded, "/")[1]), expanded)
				}
			})
		}
	}
}
