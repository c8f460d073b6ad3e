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

const doubtfulDeployment = `{
  "deployment": "d", "region": "r", "zones": [{"name": "a"}],
  "models": [{"name": "m1", "weights": "v1"}],
  "classes": [
    {"name": "review", "priority": 1, "deadline": "20m", "queue-bound": 0},
    {"name": "unused", "priority": 1, "deadline": "0s"},
  ],
  "workspaces": [
    {"name": "w1", "key-sha256": "` + hash + `", "classes": ["review", "review"]},
    {"name": "w2", "key-sha256": "` + hash + `", "classes": ["review"]},
  ],
  "pools": [
    {"name": "lm", "kind": "engine", "models": ["m1"], "replicas": 2, "zones": ["a"], "load-permits": 2,
     "directory-shards": 3},
    {"name": "orders", "kind": "service", "replicas": 0, "zones": ["a"], "calls": [
      {"method": "GET", "path": "/jobs", "repeatable": true},
      {"method": "GET", "path": "/jobs", "repeatable": false},
      {"method": "GET", "path": "/jobs?crew=7", "repeatable": true},
      {"method": "POST", "path": "/jobs", "repeatable": false},
    ]},
  ],
  "callers": {"header-timeout": "5s", "body-timeout": "2s", "write-timeout": "0s", "max-body": "0B"},
}`

const hash = "6e29f9735b816ec076bca48b7b39ef34af39f2cd68c786a14750f52ae192a5e2"

// TestReviewDeployment guards against entries without effect, and limits that contradict
// each other, that an operator learns of only when requests fail.
func TestReviewDeployment(t *testing.T) {
	_, warnings, err := ReviewDeployment("d.jsonc", []byte(doubtfulDeployment))
	assert.NilError(t, err)
	expectProblems(t, warnings,
		`d.jsonc:5: classes[0].queue-bound: found 0, so every request of the class that would have to wait is refused`,
		`d.jsonc:6: classes[1].name: "unused" is in the classes of no workspace, so no request can have it`,
		`d.jsonc:6: classes[1].deadline: found 0s, so every request of the class ends at once`,
		`d.jsonc:9: workspaces[0].classes[1]: "review" is in the list already, at workspaces[0].classes[0]`,
		`d.jsonc:9: workspaces[0].key-sha256: workspace "w2" has the same key, so no request is counted as one of "w1"`,
		`d.jsonc:13: pools[0].load-permits: found 2, so all 2 replicas may load weights at the same time and none serves`,
		`d.jsonc:14: pools[0].directory-shards: found 3, more than the 2 replicas that hold them`,
		`d.jsonc:15: pools[1].replicas: found 0, so nothing serves the requests of the pool`,
		`d.jsonc:15: pools[1].idempotency-window: found 15m0s, less than the longest deadline of a class, 20m0s: a key can expire while its request runs`,
		`d.jsonc:17: pools[1].calls[1].path: GET /jobs never matches, because pools[1].calls[0] is the same call`,
		`d.jsonc:18: pools[1].calls[2].path: "/jobs?crew=7" never matches, because the query of a request is ignored`,
		`d.jsonc:22: callers.max-body: found 0, so every request with a body is refused`,
		`d.jsonc:22: callers.body-timeout: found 2s, which includes the header and is less than callers.header-timeout, 5s`,
		`d.jsonc:22: callers.write-timeout: found 0s, so every answer is cut off`,
	)
	t.Run("the examples have none", func(t *testing.T) {
		for _, example := range [][]byte{examples.Piedmont, examples.Ramdeen} {
			_, warnings, err := ReviewDeployment("example.jsonc", example)
			assert.NilError(t, err)
			assert.Equal(t, len(warnings), 0, "%v", warnings)
		}
	})
	t.Run("an invalid file has errors instead", func(t *testing.T) {
		_, warnings, err := ReviewDeployment("d.jsonc", []byte(invalidDeployment))
		assert.Equal(t, len(warnings), 0)
		assert.Assert(t, err != nil)
	})
}
