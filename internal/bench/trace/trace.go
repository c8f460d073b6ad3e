// Package trace generates, reads and writes traces. A trace is a file in the JSON
// Lines format that lists requests and faults with their times.
//
// A request describes its prompt by prefix levels, each with a name and a length
// in tokens. The text of a level is generated from both, so that equal levels have
// equal texts:
//
//	{"at":"120ms","workspace":"w1","class":"review","model":"m1","pool":"lm-pool",
//	 "prefix":[["guide-oak",12000],["spec-17",900]],"tail-tokens":120,"output-tokens":64}
//
// A call to a plain service has a method, a path and an optional idempotency key:
//
//	{"at":"1s","workspace":"w1","class":"booking","pool":"dispatch","method":"POST","path":"/bookings","key":"b-1"}
//
// A fault has a kind, a target and a duration:
//
//	{"at":"5s","fault":"engine-crash","target":"lm-pool/3","for":"1s"}
//
// # Usage
//
//	t, err := trace.Read("piedmont.jsonl", file)
//	t := trace.Generate(trace.ProfilePiedmont, trace.GenerateOptions{Seed: 1})
//	err = trace.Write(file, t)
//
// Read and Check report the file and the number of the first invalid line.
package trace

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"comfreyworks"
	"comfreyworks/internal/state/settings"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	KindSyntax Kind = "syntax"
	KindWrite  Kind = "write"
	// KindUndeclared means that a trace uses a workspace, class, pool or model
	// that the deployment does not declare.
	KindUndeclared Kind = "not declared"
)

// Error is the error type of this package.
type Error = comfreyworks.OpError[Kind]

// maxLineBytes is the maximum length of one line of a trace, in bytes.
const maxLineBytes = 1 << 20

// Duration is a time.Duration that is encoded as a string with a unit, for example
// "120ms".
type Duration time.Duration

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(text []byte) error {
	var s string
	if err := json.Unmarshal(text, &s); err != nil {
		return err
	}
	parsed, err := time.ParseDuration(s)
	*d = Duration(parsed)
	return err
}

// Level is one prefix level of a prompt. It is encoded as an array of its name and
// its length in tokens.
type Level struct {
	Name   string
	Tokens int
}

// MarshalJSON implements json.Marshaler.
func (l Level) MarshalJSON() ([]byte, error) {
	return json.Marshal([]any{l.Name, l.Tokens})
}

// UnmarshalJSON implements json.Unmarshaler.
func (l *Level) UnmarshalJSON(text []byte) error {
	pair := []any{&l.Name, &l.Tokens}
	if err := json.Unmarshal(text, &pair); err != nil {
		return err
	}
	if len(pair) != 2 {
		return fmt.Errorf("found a level of %d parts, expected a name and a length", len(pair))
	}
	return nil
}

// FaultName names one kind of fault.
type FaultName string

// Faults.
const (
	FaultEngineCrash    FaultName = "engine-crash"
	FaultEngineSlow     FaultName = "engine-slow"
	FaultEventsLost     FaultName = "events-lost"
	FaultEntryRestart   FaultName = "entry-restart"
	FaultSidecarRestart FaultName = "sidecar-restart"
	FaultLogDown        FaultName = "log-down"
	FaultListLag        FaultName = "list-lag"
	FaultHotShift       FaultName = "hot-shift"
	FaultPartition      FaultName = "partition"
)

var faultNames = []FaultName{
	FaultEngineCrash, FaultEngineSlow, FaultEventsLost, FaultEntryRestart, FaultSidecarRestart,
	FaultLogDown, FaultListLag, FaultHotShift, FaultPartition,
}

// Line is one line of a trace: a completion request, a call to a plain service or
// a fault.
type Line struct {
	// At is the time from the start of the trace.
	At        Duration               `json:"at"`
	Workspace comfreyworks.Workspace `json:"workspace,omitempty"`
	Class     comfreyworks.Class     `json:"class,omitempty"`
	Model     comfreyworks.Model     `json:"model,omitempty"`
	Pool      comfreyworks.Pool      `json:"pool,omitempty"`
	Prefix    []Level                `json:"prefix,omitempty"`
	// TailTokens is the length of the part of the prompt that no other request
	// shares.
	TailTokens   int `json:"tail-tokens,omitempty"`
	OutputTokens int `json:"output-tokens,omitempty"`

	Method string `json:"method,omitempty"`
	Path   string `json:"path,omitempty"`
	// Key identifies the call; each run replaces it by a new idempotency key.
	Key string `json:"key,omitempty"`

	Fault  FaultName `json:"fault,omitempty"`
	Target string    `json:"target,omitempty"`
	// For is the duration of the fault.
	For Duration `json:"for,omitempty"`

	// Origin is the file and the line number, for example "t.jsonl:2"; empty if
	// the trace was generated.
	Origin string `json:"-"`
}

// IsFault reports whether the line is a fault.
func (l *Line) IsFault() bool { return l.Fault != "" }

// IsCall reports whether the line is a call to a plain service.
func (l *Line) IsCall() bool { return l.Method != "" }

// PromptTokens returns the length of the prompt in tokens.
func (l *Line) PromptTokens() int {
	sum := l.TailTokens
	for _, level := range l.Prefix {
		sum += level.Tokens
	}
	return sum
}

// Trace is a list of lines, ordered by time.
type Trace []Line

// Sort sorts the lines by time; the order of lines with equal times stays.
func (t Trace) Sort() {
	slices.SortStableFunc(t, func(a, b Line) int { return cmp.Compare(a.At, b.At) })
}

// Length returns the time of the last line, zero if there are no lines.
func (t Trace) Length() time.Duration {
	if len(t) == 0 {
		return 0
	}
	return time.Duration(t[len(t)-1].At)
}

// Read reads a trace and sorts it. file is the name for error messages.
func Read(file string, r io.Reader) (Trace, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	var t Trace
	for number := 1; scanner.Scan(); number++ {
		text := bytes.TrimSpace(scanner.Bytes())
		if len(text) == 0 {
			continue
		}
		line, err := parseLine(text)
		if err != nil {
			return nil, &Error{Op: fmt.Sprintf("%s:%d", file, number), Kind: KindSyntax, Err: err}
		}
		line.Origin = fmt.Sprintf("%s:%d", file, number)
		t = append(t, line)
	}
	if err := scanner.Err(); err != nil {
		return nil, &Error{Op: file, Kind: KindSyntax, Err: err}
	}
	t.Sort()
	return t, nil
}

// Check returns an error if the trace uses a workspace, class, pool or model that
// the deployment does not declare. The requests of such a line would only be
// rejected, and a run would measure nothing else.
func (t Trace) Check(deployment *settings.Deployment) error {
	for i := range t {
		if err := t[i].check(deployment); err != nil {
			return &Error{Op: cmp.Or(t[i].Origin, "generated trace"), Kind: KindUndeclared, Err: err}
		}
	}
	return nil
}

func (l *Line) check(deployment *settings.Deployment) error {
	if l.IsFault() {
		return nil
	}
	workspace := slices.IndexFunc(deployment.Workspaces, func(w settings.Workspace) bool { return w.Name == l.Workspace })
	pool := slices.IndexFunc(deployment.Pools, func(p settings.Pool) bool { return p.Name == l.Pool })
	switch {
	case workspace < 0:
		return fmt.Errorf("workspace: found %q, which the deployment does not declare", l.Workspace)
	case !slices.Contains(deployment.Workspaces[workspace].Classes, l.Class):
		return fmt.Errorf("class: found %q, which workspace %q may not use", l.Class, l.Workspace)
	case pool < 0:
		return fmt.Errorf("pool: found %q, which the deployment does not declare", l.Pool)
	case !l.IsCall() && !slices.Contains(deployment.Pools[pool].Models, l.Model):
		return fmt.Errorf("model: found %q, which pool %q does not serve", l.Model, l.Pool)
	default:
		return nil
	}
}

func parseLine(text []byte) (Line, error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	var line Line
	if err := decoder.Decode(&line); err != nil {
		return line, err
	}
	switch {
	case line.At < 0:
		return line, fmt.Errorf("at: found %s, expected zero or more", time.Duration(line.At))
	case line.IsFault():
		if !slices.Contains(faultNames, line.Fault) {
			return line, fmt.Errorf("fault: found %q, expected one of %v", line.Fault, faultNames)
		}
		return line, nil
	case line.Workspace == "" || line.Class == "" || line.Pool == "":
		return line, fmt.Errorf("expected workspace, class and pool")
	case !line.IsCall() && (line.Model == "" || line.OutputTokens < 1 || line.PromptTokens() < 1):
		return line, fmt.Errorf("expected model, output-tokens and a prompt, or method and path")
	default:
		return line, nil
	}
}

// Write writes a trace in the format that Read reads.
func Write(w io.Writer, t Trace) error {
	encoder := json.NewEncoder(w)
	for _, line := range t {
		if err := encoder.Encode(line); err != nil {
			return &Error{Op: "write", Kind: KindWrite, Err: err}
		}
	}
	return nil
}
