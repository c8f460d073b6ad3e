package settings

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyworks"
	"comfreyworks/examples"
)

// expectProblems checks that err consists of exactly the expected problems.
func expectProblems(t *testing.T, err error, expected ...string) {
	t.Helper()
	var problems Problems
	assert.Assert(t, errors.As(err, &problems), "got %v", err)
	got := strings.Split(problems.Error(), "\n")
	assert.DeepEqual(t, got, expected)
}

func TestExamples(t *testing.T) {
	t.Run("piedmont", func(t *testing.T) {
		d, err := ReadDeployment("piedmont.jsonc", examples.Piedmont)
		assert.NilError(t, err)
		assert.Equal(t, d.Pool("lm-pool").Replicas, 10)
		assert.Equal(t, d.PoolForModel("oak-12b").Name, comfreyworks.Pool("lm-pool"))
		assert.Equal(t, d.Class("review").Deadline, time.Minute)
		assert.Assert(t, !d.Pool("dispatch").Repeatable("POST", "/bookings"))
		assert.Assert(t, d.Pool("dispatch").Repeatable("GET", "/jobs?crew=7"))
		assert.Assert(t, !d.Pool("dispatch").Repeatable("GET", "/not-declared"))
	})
	t.Run("ramdeen", func(t *testing.T) {
		d, err := ReadDeployment("ramdeen.jsonc", examples.Ramdeen)
		assert.NilError(t, err)
		assert.Equal(t, d.Pool("lm-serve").Replicas, 20)
		assert.Equal(t, d.Callers.MaxBody, ByteSize(4<<20))
	})
	for _, file := range []string{"entry-0.jsonc", "sidecar-0.jsonc"} {
		t.Run(file, func(t *testing.T) {
			source, err := os.ReadFile("../../../examples/" + file)
			assert.NilError(t, err)
			_, err = ReadInstance(file, source)
			assert.NilError(t, err)
		})
	}
}

const invalidDeployment = `{
  "deployment": "d",
  "region": 7,
  "zones": [{"name": "Zone A"}, {"name": "b"}, {"name": "b"}],
  "models": [{"name": "m1", "weights": "v1", "bytes-per-token": 0}],
  "classes": [{"name": "review", "priority": -1, "deadline": "soon"}],
  "workspaces": [{"name": "w1", "key-sha256": "abc", "classes": ["reviews"]}],
  // The pool names a zone that does not exist.
  "pools": [
    {"name": "lm", "kind": "engin", "models": ["m1"], "replicas": 1, "zones": ["c"]},
  ],
  "callers": {"max-body": "4"},
  "colour": "green",
}`

func TestEveryProblemIsReported(t *testing.T) {
	_, err := ReadDeployment("d.jsonc", []byte(invalidDeployment))
	expectProblems(t, err,
		`d.jsonc:3: region: found 7, expected a string`,
		`d.jsonc:4: zones[0].name: found "Zone A", expected a name in kebab case`,
		`d.jsonc:4: zones[2].name: "b" is already used, expected a new name`,
		`d.jsonc:5: models[0].bytes-per-token: found 0, expected at least 1`,
		`d.jsonc:6: classes[0].priority: found -1, expected zero or more`,
		`d.jsonc:6: classes[0].deadline: found "soon", expected a duration with a unit, such as "250ms" or "5s"`,
		`d.jsonc:7: workspaces[0].key-sha256: found 3 characters, expected 64 hexadecimal digits`,
		`d.jsonc:7: workspaces[0].classes[0]: found "reviews", expected the name of a declared class`,
		`d.jsonc:10: pools[0].zones[0]: found "c", expected the name of a declared zone`,
		`d.jsonc:10: pools[0].kind: found "engin", expected engine or service`,
		`d.jsonc:12: callers.max-body: found "4", expected a size with a unit, such as "64KiB" or "2MB"`,
		`d.jsonc:13: colour: unknown field, expected one of deployment, region, zones, models, classes, workspaces, pools, callers`,
	)
}

const instanceFile = `{
  "instance": "entry/0", "role": "entry", "zone": "a", "deployment-file": "d.jsonc",
  "listen": "127.0.0.1:8080", "peer-secret": "0123456789abcdef", "platform": "127.0.0.1:8900"
}`

func TestInstance(t *testing.T) {
	tests := []struct {
		name, old, new, expected string
	}{
		{"host name", "127.0.0.1:8900", "platform.example:8900", `i.jsonc:3: platform: found "platform.example:8900", expected an IP address and a port, such as "10.0.0.7:8080"; host names are not resolved`},
		{"instance with a dot", "entry/0", "entry.0", `i.jsonc:2: instance: found "entry.0", expected a name such as "lm-pool/3"`},
		{"short secret", "0123456789abcdef", "short", `i.jsonc:3: peer-secret: found 5 bytes, expected at least 16`},
		{"unknown role", `"role": "entry"`, `"role": "router"`, `i.jsonc:2: role: found "router", expected entry or sidecar`},
		{"duplicate field", `"zone": "a"`, `"zone": "a", "zone": "b"`, `i.jsonc:2: zone: field is given twice`},
		{"missing field", `"zone": "a", `, ``, `i.jsonc:1: zone: missing, expected a string`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := ReadInstance("i.jsonc", []byte(strings.Replace(instanceFile, test.old, test.new, 1)))
			expectProblems(t, err, test.expected)
		})
	}
	t.Run("syntax", func(t *testing.T) {
		_, err := ReadInstance("i.jsonc", []byte("{\n  \"instance\": \n}"))
		var problems Problems
		assert.Assert(t, errors.As(err, &problems))
		assert.Equal(t, problems[0].Line, 3, problems.Error())
	})
	t.Run("valid", func(t *testing.T) {
		i, err := ReadInstance("i.jsonc", []byte(instanceFile))
		assert.NilError(t, err)
		assert.Equal(t, i.Listen.Port(), uint16(8080))
	})
}

func FuzzReadDeployment(f *testing.F) {
	f.Add(examples.Piedmont)
	f.Add([]byte(invalidDeployment))
	f.Add([]byte("[]"))
	f.Fuzz(func(t *testing.T, source []byte) {
		d, err := ReadDeployment("f.jsonc", source)
		if (d == nil) == (err == nil) {
			t.Fatal("expected either a deployment or problems")
		}
		var problems Problems
		if err != nil && !errors.As(err, &problems) {
			t.Fatal(fmt.Errorf("expected Problems, found another error: %w", err))
		}
	})
}
