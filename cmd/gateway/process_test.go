package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyworks"
	"comfreyworks/internal/standin/crowd"
	"comfreyworks/platform"
	"comfreyworks/platform/standin"
)

const (
	// memoryMB and maxFDs are the limits in the settings of the gateway, and the bounds that it
	// must keep.
	memoryMB = 64
	maxFDs   = 400
	// maxHeader and maxBody are the limits for what callers send.
	maxHeader = 16 << 10
	maxBody   = 4 << 20
	// requestTimeout is the timeout of all routes.
	requestTimeout = 4 * time.Second
	engines        = 8
	host           = "app.example"
)

// process is a gateway that runs as a process, in front of a service and some engines.
type process struct {
	command *exec.Cmd
	address netip.AddrPort
	// ready, metrics and peers are the addresses for probes of the load balancer, for the metrics
	// and for other gateways.
	ready, metrics, peers netip.AddrPort
	readyPath             string
	exited                chan struct{}
	usage                 *crowd.Usage
	names                 comfreyworks.HeaderNames
}

// upstreams answers the requests of a process.
type upstreams struct {
	service, engine http.Handler
	// events answers reads of cache events; nil means that there are none.
	events http.Handler
}

// answer answers a request like a sound upstream.
func answer(delay time.Duration, size int) http.HandlerFunc {
	names := platform.HeaderNames()
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		time.Sleep(delay)
		w.Header().Set(names.RequestID, r.Header.Get(names.RequestID))
		w.Header().Set(names.Digest, "signed")
		_, _ = w.Write(bytes.Repeat([]byte("a"), size))
	}
}

// buildGateway builds the gateway without the race detector, which multiplies its memory.
func buildGateway(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "gateway")
	output, err := exec.CommandContext(t.Context(), "go", "build", "-o", program, ".").CombinedOutput()
	assert.NilError(t, err, "%s", output)
	return program
}

// startProcess starts a store, upstreams and a gateway, and waits until it serves.
func startProcess(t *testing.T, program string, u upstreams) *process {
	t.Helper()
	store := standin.NewStore()
	serve := func(handler http.Handler) netip.AddrPort {
		server := httptest.NewServer(handler)
		t.Cleanup(func() {
			server.CloseClientConnections()
			server.Close()
		})
		return netip.MustParseAddrPort(server.Listener.Addr().String())
	}
	route := func(name, kind, service string) standin.Route {
		return standin.Route{Name: name, Host: host, Prefix: "/" + name + "/", Kind: kind, Service: service, Timeout: requestTimeout, Objective: time.Second, MaxAttempts: 1}
	}
	deployment := standin.Deployment{
		Version: 1, Routes: []standin.Route{route("look", "idempotent", "app"), route("note", "streaming", "lm")},
		Services:       []standin.Service{{Name: "app"}, {Name: "lm", Model: "m0"}},
		MaxHeaderBytes: maxHeader, MaxBodyBytes: maxBody,
	}
	store.Put(standin.OperatorTopic, "config", deployment.Config())
	key, weights := standin.Weights("m0", 1)
	store.Put(standin.OperatorTopic, key, weights)
	list := func(id, service, model string, handler http.Handler) {
		entry := standin.Entry{Service: service, Zone: "z", Address: serve(handler), Started: time.Now(), Model: model, Version: 1, Sequence: 1}
		store.Put(standin.UpstreamTopic, id, entry.Record())
	}
	list("app-0", "app", "", u.service)
	for i := range engines {
		list(fmt.Sprint("lm-", i), "lm", "m0", &standin.Engine{Requests: u.engine, CacheEvents: u.events, Model: "m0"})
	}
	settings := standin.Settings{
		Node: "g0", Zone: "z", Listen: crowd.FreeAddress(), Ready: crowd.FreeAddress(), PeerListen: crowd.FreeAddress(), Store: serve(store),
		KeyRevocation: 5 * time.Second, StopGrace: 8 * time.Second, RetryRatio: 0.2, RetrySlack: 50, RetryWindow: 10 * time.Second,
		LeaseDuration: 3 * time.Second, SupersededWeights: 6 * time.Second, MemoryMB: memoryMB, MaxFDs: maxFDs,
	}
	file := filepath.Join(t.TempDir(), "settings.toml")
	assert.NilError(t, os.WriteFile(file, []byte(settings.File()), 0o600))
	read, err := platform.ReadSettings(file)
	assert.NilError(t, err)
	metrics := crowd.FreeAddress()
	p := &process{
		command: exec.Command(program, "--metrics-port", strconv.Itoa(int(metrics.Port()))), address: settings.Listen,
		ready: settings.Ready, metrics: metrics, peers: settings.PeerListen,
		readyPath: read.Gateway.ReadyPath, exited: make(chan struct{}), names: platform.HeaderNames(),
	}
	p.command.Env = []string{platform.SettingsVariable + "=" + file}
	p.command.Stdout = io.Discard
	var stderr bytes.Buffer
	p.command.Stderr = &stderr
	assert.NilError(t, p.command.Start())
	p.usage = crowd.Watch(p.command.Process.Pid, p.exited)
	inGroup(t, func() {
		_ = p.command.Wait()
		close(p.exited)
	})
	// Runs before the clean-ups that wait for the process.
	t.Cleanup(func() {
		_ = p.command.Process.Kill()
		<-p.exited
		p.usage.Wait()
		if t.Failed() {
			t.Logf("%.4000s", stderr.String())
		}
	})
	p.assertAnswers(t)
	return p
}

// newRequest returns a request of an ordinary caller.
func (p *process) newRequest(t *testing.T, body io.Reader) *http.Request {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+p.address.String()+"/look/1", body)
	assert.NilError(t, err)
	r.Host = host
	r.Header.Set(p.names.RequestID, fmt.Sprint("ordinary-", time.Now().UnixNano()))
	return r
}

// assertAnswers checks that an ordinary request is answered. Like its callers it tries again
// while it is refused or finds no connection.
func (p *process) assertAnswers(t *testing.T) {
	t.Helper()
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	var last string
	for range 100 {
		response, err := client.Do(p.newRequest(t, nil))
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
			last = response.Status
		} else {
			last = err.Error()
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Fatalf("no ordinary request is answered: %s", last)
}

// assertBounds checks that the process lives within its limits, and answers.
func (p *process) assertBounds(t *testing.T) {
	t.Helper()
	peak, err := p.usage.PeakMB()
	assert.NilError(t, err, "the process has ended")
	used, descriptors := p.usage.UsedMB(), p.usage.Descriptors()
	t.Logf("peak %.1f MB, %.1f MB with what was not read, %d descriptors", peak, used, descriptors)
	assert.Check(t, used <= memoryMB, "%.1f MB with what was not read", used)
	assert.Check(t, peak <= memoryMB, "peak %.1f MB", peak)
	assert.Check(t, descriptors <= maxFDs, "%d descriptors", descriptors)
	p.assertAnswers(t)
	p.assertProbes(t)
	select {
	case <-p.exited:
		t.Fatal("the process has ended")
	default:
	}
}

// assertProbes checks that the load balancer's probe and a request for the metrics are answered.
func (p *process) assertProbes(t *testing.T) {
	t.Helper()
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, url := range []string{"http://" + p.ready.String() + p.readyPath, "http://" + p.metrics.String() + "/metrics"} {
		var last error
		for n := 0; n == 0 || last != nil; n++ {
			assert.Assert(t, n < 100, "%s: %v", url, last)
			var response *http.Response
			if response, last = client.Get(url); last == nil {
				_ = response.Body.Close()
				assert.Equal(t, response.StatusCode, http.StatusOK)
			}
		}
	}
}
