package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"comfreyworks/internal/standin/crowd"
	"comfreyworks/internal/standin/logservice"
)

const (
	// memoryMB is the memory limit of the entry, and the bound that it must keep.
	memoryMB = 64
	// maxBody is that of the example deployment, headerBytes what a header may have.
	maxBody, headerBytes = 4 << 20, 32 << 10
	crowdTime            = 6 * time.Second
	authorization        = "Authorization: Bearer key-office\r\n"
)

// startEntry starts an entry as a process, without sidecars, and waits until it serves.
func startEntry(t *testing.T) (address netip.AddrPort, usage *crowd.Usage) {
	t.Helper()
	directory := t.TempDir()
	program := filepath.Join(directory, "entry")
	output, err := exec.CommandContext(t.Context(), "go", "build", "-o", program, ".").CombinedOutput()
	assert.NilError(t, err, "%s", output)
	clock := clockwork.NewRealClock()
	platform := httptest.NewServer(logservice.Handler(logservice.NewLog(logservice.LogOptions{Clock: clock}), logservice.NewList(clock, 0)))
	t.Cleanup(platform.Close)
	example, err := os.ReadFile("../../examples/piedmont.jsonc")
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(filepath.Join(directory, "deployment.jsonc"), example, 0o600))
	address = crowd.FreeAddress()
	settings := fmt.Sprintf(`{
		"instance": "entry/0", "role": "entry", "zone": "atl-a", "deployment-file": "deployment.jsonc", "listen": "%s",
		"peer-secret": "secret-of-a-test-0123456789", "platform": "%s", "memory-limit": "%dMiB"
	}`, address, strings.TrimPrefix(platform.URL, "http://"), memoryMB)
	file := filepath.Join(directory, "entry.jsonc")
	assert.NilError(t, os.WriteFile(file, []byte(settings), 0o600))
	command := exec.Command(program, "--config", file)
	var stderr bytes.Buffer
	command.Stderr = &stderr
	assert.NilError(t, command.Start())
	exited := make(chan struct{})
	usage = crowd.Watch(command.Process.Pid, exited)
	var group errgroup.Group
	group.Go(func() error {
		_ = command.Wait()
		close(exited)
		return nil
	})
	t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = group.Wait()
		usage.Wait()
		if t.Failed() {
			t.Logf("%.4000s", stderr.String())
		}
	})
	assertAnswers(t, address)
	return address, usage
}

// assertAnswers checks that an ordinary request is answered. Like its callers it tries again
// while it is refused or finds no connection.
func assertAnswers(t *testing.T, address netip.AddrPort) {
	t.Helper()
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	last := ""
	for range 100 {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address.String()+"/v1/models", nil)
		assert.NilError(t, err)
		r.Header.Set("Authorization", "Bearer key-office")
		response, err := client.Do(r)
		if err == nil {
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

// TestCrowds guards against callers that end an entry or make it exceed its memory, with
// requests that each keep the limits.
func TestCrowds(t *testing.T) {
	head := "POST /v1/completions HTTP/1.1\r\nHost: a\r\n" + authorization
	body := bytes.Repeat([]byte("x"), maxBody)
	lines := crowd.ShortLines(headerBytes - 900)
	for name, test := range map[string]struct {
		callers int
		caller  func(c net.Conn)
	}{
		"bodies that stop short of their end": {24, func(c net.Conn) {
			_, _ = fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head, maxBody, body[10:])
			crowd.Stay(c)
		}},
		"bodies in one chunk that stop short of its end": {24, func(c net.Conn) {
			_, _ = fmt.Fprintf(c, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s", head, maxBody, body[10:])
			crowd.Stay(c)
		}},
		"whole bodies again and again": {24, func(c net.Conn) {
			reader := bufio.NewReader(c)
			for {
				if _, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head, maxBody, body); err != nil {
					return
				}
				response, err := http.ReadResponse(reader, nil)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, response.Body)
			}
		}},
		"headers of short lines without their end": {200, func(c net.Conn) {
			_, _ = io.WriteString(c, head+lines)
			crowd.Stay(c)
		}},
		"more connections than its memory has room for": {2000, crowd.Stay},
	} {
		t.Run(name, func(t *testing.T) {
			address, usage := startEntry(t)
			crowd.Connect(address, crowdTime, test.callers, func(_ int, c net.Conn) { test.caller(c) })
			peak, err := usage.PeakMB()
			assert.NilError(t, err, "the process has ended")
			t.Logf("peak %.1f MB, %.1f MB with what was not read", peak, usage.UsedMB())
			assert.Check(t, peak <= memoryMB, "peak %.1f MB", peak)
			assert.Check(t, usage.UsedMB() <= memoryMB, "%.1f MB with what was not read", usage.UsedMB())
			assertAnswers(t, address)
		})
	}
}
