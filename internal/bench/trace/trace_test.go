package trace

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"

	"comfreyworks/examples"
	"comfreyworks/internal/state/settings"
)

func TestRead(t *testing.T) {
	const good = `{"at":"120ms","workspace":"w1","class":"review","model":"m1","prefix":[["guide-oak",12000],["spec-17",900]],"tail-tokens":120,"output-tokens":64,"pool":"lm-pool"}`
	t.Run("documented format", func(t *testing.T) {
		trace, err := Read("t.jsonl", strings.NewReader(good+"\n\n"+`{"at":"5ms","fault":"engine-crash","target":"lm-pool/3","for":"1s"}`))
		assert.NilError(t, err)
		assert.Equal(t, trace[0].Fault, FaultEngineCrash)
		assert.Equal(t, trace[1].PromptTokens(), 13020)
		assert.Equal(t, trace[1].Prefix[1], Level{Name: "spec-17", Tokens: 900})
		assert.Equal(t, trace.Length(), 120*time.Millisecond)
	})
	bad := []struct{ name, line, expected string }{
		{"not JSON", `{"at"`, "t.jsonl:1: syntax: unexpected EOF"},
		{"unknown field", `{"at":"1s","colour":1}`, `unknown field "colour"`},
		{"time without a unit", `{"at":"5"}`, "missing unit"},
		{"unknown fault", `{"at":"1s","fault":"flood"}`, `found "flood"`},
		{"no pool", `{"at":"1s","workspace":"w","class":"c"}`, "expected workspace, class and pool"},
		{"no prompt", `{"at":"1s","workspace":"w","class":"c","pool":"p","model":"m"}`, "expected model, output-tokens and a prompt"},
		{"level without a length", `{"at":"1s","prefix":[["guide"]]}`, "found a level of 1 parts"},
	}
	for _, test := range bad {
		t.Run(test.name, func(t *testing.T) {
			_, err := Read("t.jsonl", strings.NewReader(test.line))
			assert.ErrorContains(t, err, test.expected)
		})
	}
}

// TestCheck checks that the error for a name that the deployment does not declare
// contains the line.
func TestCheck(t *testing.T) {
	deployment, err := settings.ReadDeployment("piedmont.jsonc", examples.Piedmont)
	assert.NilError(t, err)
	const good = `{"at":"1s","workspace":"office","class":"note","model":"oak-12b","tail-tokens":1,"output-tokens":1,"pool":"lm-pool"}`
	cases := map[string]struct{ from, to, expected string }{
		"good":              {"", "", ""},
		"unknown workspace": {`"office"`, `"nobody"`, `t.jsonl:2: not declared: workspace: found "nobody"`},
		"unknown class":     {`"note"`, `"poem"`, `class: found "poem"`},
		"unknown pool":      {`"lm-pool"`, `"none"`, `pool: found "none"`},
		"unknown model":     {`"oak-12b"`, `"ash"`, `model: found "ash"`},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			trace, err := Read("t.jsonl", strings.NewReader(good+"\n"+strings.Replace(good, c.from, c.to, 1)))
			assert.NilError(t, err)
			err = trace.Check(deployment)
			if c.expected == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorContains(t, err, c.expected)
		})
	}
}

func TestGenerate(t *testing.T) {
	for _, profile := range Profiles() {
		t.Run(string(profile), func(t *testing.T) {
			options := GenerateOptions{Seed: 7, Length: 10 * time.Second, Rate: 30}
			trace := Generate(profile, options)
			assert.DeepEqual(t, trace, Generate(profile, options), cmpopts.IgnoreFields(Line{}, "Origin"))
			var file bytes.Buffer
			assert.NilError(t, Write(&file, trace))
			read, err := Read("t.jsonl", &file)
			assert.NilError(t, err)
			assert.DeepEqual(t, read, trace, cmpopts.IgnoreFields(Line{}, "Origin"))
		})
	}
}

func FuzzRead(f *testing.F) {
	f.Add(`{"at":"1s","workspace":"w","class":"c","pool":"p","model":"m","prefix":[["g",1]],"output-tokens":1}`)
	f.Add(`{"at":"1s","prefix":[["g",1,2]]}`)
	f.Fuzz(func(t *testing.T, text string) {
		trace, err := Read("f.jsonl", strings.NewReader(text))
		if err != nil {
			return
		}
		var file bytes.Buffer
		assert.NilError(t, Write(&file, trace))
		_, err = Read("f.jsonl", &file)
		assert.NilError(t, err)
	})
}
