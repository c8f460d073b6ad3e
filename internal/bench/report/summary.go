// Package report summarizes the samples of a run. Summaries can be written as a
// table or encoded as JSON.
//
// # Usage
//
//	summary := report.Summarize(samples, report.SideEffects{DoubledCalls: n})
//	report.WriteTable(os.Stdout, summary)
//
// All figures of a summary without samples are zero.
package report

import (
	"cmp"
	"io"
	"slices"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
	"gonum.org/v1/gonum/stat"

	"comfreyworks"
	"comfreyworks/internal/bench/load"
)

// SideEffects holds figures that come from the services and not from the answers
// to callers.
type SideEffects struct {
	// DoubledCalls is the number of surplus runs of calls that may run only once.
	DoubledCalls int `json:"doubled-calls"`
}

// ClassSummary summarizes the requests of one traffic class. The quantiles of the
// time to first token (TTFT) and of the time between tokens (gap) cover only
// complete answers.
type ClassSummary struct {
	Class    comfreyworks.Class `json:"class"`
	Requests int                `json:"requests"`
	TTFT50   time.Duration      `json:"ttft-p50-ns"`
	TTFT95   time.Duration      `json:"ttft-p95-ns"`
	TTFT99   time.Duration      `json:"ttft-p99-ns"`
	Gap95    time.Duration      `json:"gap-p95-ns"`
}

// Summary summarizes one run. The token counts cover complete answers, and the
// TTFT quantiles complete streams.
type Summary struct {
	Requests     int                  `json:"requests"`
	Outcomes     map[load.Outcome]int `json:"outcomes"`
	Classes      []ClassSummary       `json:"classes"`
	PromptTokens int                  `json:"prompt-tokens"`
	CachedTokens int                  `json:"cached-tokens"`
	WastedTokens int                  `json:"wasted-tokens"`
	TTFT50       time.Duration        `json:"ttft-p50-ns"`
	TTFT95       time.Duration        `json:"ttft-p95-ns"`
	TTFT99       time.Duration        `json:"ttft-p99-ns"`
	SideEffects
}

// HitRate returns the fraction of prompt tokens that were found in a cache.
func (s *Summary) HitRate() float64 { return ratio(s.CachedTokens, s.PromptTokens) }

// Waste returns the fraction of prompt tokens that were prefilled although a live
// engine of the pool had them in its cache.
func (s *Summary) Waste() float64 { return ratio(s.WastedTokens, s.PromptTokens) }

// BadAnswers returns the number of requests that were answered wrongly,
// incompletely or not at all.
func (s *Summary) BadAnswers() int {
	return s.Outcomes[load.OutcomeWrong] + s.Outcomes[load.OutcomeFailed] + s.Outcomes[load.OutcomeIncomplete]
}

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// Summarize summarizes the samples of a run.
func Summarize(samples []load.Sample, effects SideEffects) Summary {
	s := Summary{Requests: len(samples), Outcomes: make(map[load.Outcome]int), SideEffects: effects}
	byClass := make(map[comfreyworks.Class][]load.Sample)
	var all []time.Duration
	for _, sample := range samples {
		s.Outcomes[sample.Outcome]++
		byClass[sample.Line.Class] = append(byClass[sample.Line.Class], sample)
		if sample.Outcome != load.OutcomeComplete {
			continue
		}
		s.PromptTokens += sample.PromptTokens
		s.CachedTokens += sample.CachedTokens
		s.WastedTokens += sample.WastedTokens
		if !sample.Line.IsCall() {
			all = append(all, sample.TTFT)
		}
	}
	s.TTFT50, s.TTFT95, s.TTFT99 = Quantile(all, 0.5), Quantile(all, 0.95), Quantile(all, 0.99)
	for class, members := range byClass {
		s.Classes = append(s.Classes, summarizeClass(class, members))
	}
	slices.SortFunc(s.Classes, func(a, b ClassSummary) int { return cmp.Compare(a.Class, b.Class) })
	return s
}

func summarizeClass(class comfreyworks.Class, samples []load.Sample) ClassSummary {
	var ttft, gaps []time.Duration
	for _, sample := range samples {
		if sample.Outcome == load.OutcomeComplete {
			ttft = append(ttft, sample.TTFT)
			gaps = append(gaps, sample.Gaps...)
		}
	}
	return ClassSummary{
		Class:    class,
		Requests: len(samples),
		TTFT50:   Quantile(ttft, 0.5),
		TTFT95:   Quantile(ttft, 0.95),
		TTFT99:   Quantile(ttft, 0.99),
		Gap95:    Quantile(gaps, 0.95),
	}
}

// Quantile returns the p-quantile of durations, with p from 0 to 1. It returns
// zero if there are no durations.
func Quantile(durations []time.Duration, p float64) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	values := make([]float64, len(durations))
	for i, d := range durations {
		values[i] = float64(d)
	}
	slices.Sort(values)
	return time.Duration(stat.Quantile(p, stat.Empirical, values, nil))
}

// displayPrecision is the unit to which times in tables are rounded.
const displayPrecision = 100 * time.Microsecond

// WriteTable writes a summary as two text tables, one by class and one of totals.
func WriteTable(w io.Writer, s Summary) {
	classes := table.NewWriter()
	classes.SetOutputMirror(w)
	classes.SetStyle(table.StyleLight)
	classes.AppendHeader(table.Row{"class", "requests", "TTFT p50", "p95", "p99", "gap p95"})
	for _, c := range s.Classes {
		classes.AppendRow(table.Row{
			c.Class, c.Requests, c.TTFT50.Round(displayPrecision), c.TTFT95.Round(displayPrecision),
			c.TTFT99.Round(displayPrecision), c.Gap95.Round(displayPrecision),
		})
	}
	classes.Render()
	totals := table.NewWriter()
	totals.SetOutputMirror(w)
	totals.SetStyle(table.StyleLight)
	totals.AppendRows([]table.Row{
		{"requests", s.Requests},
		{"prefix hit rate", percent(s.HitRate())},
		{"wasted recomputation", percent(s.Waste())},
		{"refused, nothing run", s.Outcomes[load.OutcomeRefused]},
		{"incomplete streams", s.Outcomes[load.OutcomeIncomplete]},
		{"wrong or lost answers", s.Outcomes[load.OutcomeWrong] + s.Outcomes[load.OutcomeFailed]},
		{"calls with unknown outcome", s.Outcomes[load.OutcomeUnknown]},
		{"doubled calls", s.DoubledCalls},
	})
	totals.Render()
}
