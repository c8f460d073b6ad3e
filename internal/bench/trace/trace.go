// Package trace reads and writes traces: files of JSON lines that say which
// requests arrive when, and which faults happen when.
//
// A request names its prompt by levels, each a name and a length; the text is
// generated from the name, so equal names give equal text:
//
//	{"at":"120ms","workspace":"w1","class":"review","model":"m1","pool":"lm-pool",
//	 "prefix":[["guide-oak",12000],["spec-17",900]],"tail-tokens":120,"output-tokens":64}
//
// A call to a plain service names its method, path and key:
//
//	{"at":"1s","workspace":"w1","class":"booking","pool":"dispatch","method":"POST","path":"/bookings","key":"b-1"}
//
// A fault names its kind and target:
//
//	{"at":"5s","fault":"engine-crash","target":"lm-pool/3","for":"1s"}
//
// # Usage
//
//	t, err := trace.Read("piedmont.jsonl", file)
//	t := trace.Generate(trace.ProfilePiedmont, trace.GenerateOptions{Seed: 1})
//	err = trace.Write(file, t)
//
// Read reports the file and line of the first mistake.
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
	// KindUndeclared means that a trace names what a deployment lacks.
	KindUndeclared Kind = "not declared"
)

// Error is the error type of this package.
type Error = comfreyworks.OpError[Kind]

// maxLineBytes bounds one line of a trace, in bytes.
const maxLineBytes = 1 << 20

// Duration is a time.Duration that is written with its unit.
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

// Level is one level of a prompt: a name and a length in tokens.
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

// FaultName names a kind of fault.
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

// Line is one line of a trace: a request, a call or a fault.
type Line struct {
	At           Duration               `json:"at"`
	Workspace    comfreyworks.Workspace `json:"workspace,omitempty"`
	Class        comfreyworks.Class     `json:"class,omitempty"`
	Model        comfreyworks.Model     `json:"model,omitempty"`
	Pool         comfreyworks.Pool      `json:"pool,omitempty"`
	Prefix       []Level                `json:"prefix,omitempty"`
	TailTokens   int                    `json:"tail-tokens,omitempty"`
	OutputTokens int                    `json:"output-tokens,omitempty"`

	Method string `json:"method,omitempty"`
	Path   string `json:"path,omitempty"`
	Key    string `json:"key,omitempty"`

	Fault  FaultName `json:"fault,omitempty"`
	Target string    `json:"target,omitempty"`
	For    Duration  `json:"for,omitempty"`

	// Origin is the file and the number of the line; empty when the trace was
	// generated.
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

// Trace is a list of lines in order of time.
type Trace []Line

// Sort puts the lines in order of time.
func (t Trace) Sort() {
	slices.SortStableFunc(t, func(a, b Line) int { return cmp.Compare(a.At, b.At) })
}

// Length returns the time of the last line.
func (t Trace) Length() time.Duration {
	if len(t) == 0 {
		return 0
	}
	return time.Duration(t[len(t)-1].At)
}

// Read reads a trace.
func Read(file string, r io.Reader) (Trace, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	var t Trace
	for number := 1; scanner.Scan(); number++ {
		text := bytes.TrimSpace(scanner.Bytes())
		if len(text) == 0 {
			continue
		}
		line, err := parse(text)
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

// Check holds a trace against a deployment. A trace that names what the
// deployment lacks would measure nothing but refusals.
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

func parse(text []byte) (Line, error) {
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

// Write writes a trace.
func Write(w io.Writer, t Trace) error {
	encoder := json.NewEncoder(w)
	for _, line := range t {
		if err := encoder.Encode(line); err != nil {
			return &Error{Op: "write", Kind: KindWrite, Err: err}
		}
	}
	return nil
}
