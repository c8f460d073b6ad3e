// Package report sums up the samples of runs: as a table for people, as JSON
// for programs and as plots.
//
// # Usage
//
//	summary := report.Summarize(samples, report.Effects{DoubledCalls: n})
//	report.WriteTable(os.Stdout, summary)
//
// Summaries of no samples are all zero.
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

// Effects is what the upstreams say, apart from what callers saw.
type Effects struct {
	// DoubledCalls counts non-repeatable calls that ran more than once.
	DoubledCalls int `json:"doubled-calls"`
}

// ClassSummary sums up the requests of one class.
type ClassSummary struct {
	Class    comfreyworks.Class `json:"class"`
	Requests int                `json:"requests"`
	TTFT50   time.Duration      `json:"ttft-p50-ns"`
	TTFT95   time.Duration      `json:"ttft-p95-ns"`
	TTFT99   time.Duration      `json:"ttft-p99-ns"`
	Gap95    time.Duration      `json:"gap-p95-ns"`
}

// Summary sums up one run.
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
	Effects
}

// HitRate is the share of prompt tokens that came from cache.
func (s *Summary) HitRate() float64 { return share(s.CachedTokens, s.PromptTokens) }

// Waste is the share of prompt tokens that were computed although a live
// upstream held them.
func (s *Summary) Waste() float64 { return share(s.WastedTokens, s.PromptTokens) }

// Bad is the number of requests whose caller did not get a whole answer or a
// true refusal.
func (s *Summary) Bad() int {
	return s.Outcomes[load.OutcomeWrong] + s.Outcomes[load.OutcomeFailed] + s.Outcomes[load.OutcomeIncomplete]
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// Summarize sums up samples.
func Summarize(samples []load.Sample, effects Effects) Summary {
	s := Summary{Requests: len(samples), Outcomes: make(map[load.Outcome]int), Effects: effects}
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

// Quantile returns a quantile of durations, p from 0 to 1, or zero for none.
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

// shownPrecision is the precision of times in tables.
const shownPrecision = 100 * time.Microsecond

// WriteTable writes a summary for people.
func WriteTable(w io.Writer, s Summary) {
	classes := table.NewWriter()
	classes.SetOutputMirror(w)
	classes.SetStyle(table.StyleLight)
	classes.AppendHeader(table.Row{"class", "requests", "TTFT p50", "p95", "p99", "gap p95"})
	for _, c := range s.Classes {
		classes.AppendRow(table.Row{
			c.Class, c.Requests, c.TTFT50.Round(shownPrecision), c.TTFT95.Round(shownPrecision),
			c.TTFT99.Round(shownPrecision), c.Gap95.Round(shownPrecision),
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
