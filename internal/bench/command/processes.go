package command

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"comfreyworks"
	"comfreyworks/examples"
	"comfreyworks/internal/bench/rig"
	"comfreyworks/internal/state/settings"
)

// readyPollInterval is the pause between two readiness checks of an entry,
// readyTimeout the maximum time to wait for one entry.
const (
	readyPollInterval = 50 * time.Millisecond
	readyTimeout      = 30 * time.Second
)

// settingsReadyFile is created after all settings files have been written, to
// signal that the roles can be started. scripts/processes.sh waits for it.
const settingsReadyFile = "ready"

// processesCommand runs the demo against roles that run as separate processes. It
// writes their settings files and waits until another program, such as
// scripts/processes.sh, has started them and the entries are ready.
type processesCommand struct {
	Dir string `long:"dir" required:"yes" description:"empty directory for the settings files" value-name:"DIR"`

	ctx context.Context
}

// instanceFile is the content of an instance's settings file.
type instanceFile struct {
	Instance       comfreyworks.InstanceID `json:"instance"`
	Role           comfreyworks.Role       `json:"role"`
	Zone           comfreyworks.Zone       `json:"zone"`
	DeploymentFile string                  `json:"deployment-file"`
	Listen         string                  `json:"listen"`
	PeerSecret     string                  `json:"peer-secret"`
	Platform       string                  `json:"platform"`
	Pool           comfreyworks.Pool       `json:"pool,omitempty"`
	Upstream       string                  `json:"upstream,omitempty"`
}

// Execute implements flags.Commander.
func (c *processesCommand) Execute([]string) error {
	r, deployment, err := startDemo(c.ctx, true)
	if err != nil {
		return err
	}
	defer r.Stop()
	if err := c.writeSettings(r); err != nil {
		return eris.Wrap(err, "write the settings files")
	}
	for i := range demoEntries {
		if err := c.awaitReady(r.EntryURL(i)); err != nil {
			return err
		}
	}
	return runDemo(c.ctx, r, deployment)
}

// writeSettings writes the deployment file and one settings file per instance, and
// then settingsReadyFile.
func (c *processesCommand) writeSettings(r *rig.Rig) error {
	const deploymentFile = "piedmont.jsonc"
	if err := os.WriteFile(filepath.Join(c.Dir, deploymentFile), examples.Piedmont, 0o600); err != nil {
		return err
	}
	for _, instance := range r.Instances() {
		if err := c.writeInstanceFile(instance, deploymentFile); err != nil {
			return err
		}
	}
	return os.WriteFile(filepath.Join(c.Dir, settingsReadyFile), nil, 0o600)
}

func (c *processesCommand) writeInstanceFile(instance settings.Instance, deploymentFile string) error {
	file := instanceFile{
		Instance:       instance.ID,
		Role:           instance.Role,
		Zone:           instance.Zone,
		DeploymentFile: deploymentFile,
		Listen:         instance.Listen.String(),
		PeerSecret:     instance.PeerSecret,
		Platform:       instance.Platform.String(),
		Pool:           instance.Pool,
	}
	if instance.Upstream.IsValid() {
		file.Upstream = instance.Upstream.String()
	}
	text, err := json.MarshalIndent(file, "", "  ")
	if err != nil {
		return err
	}
	name := string(instance.Role) + "-" + strings.ReplaceAll(string(instance.ID), "/", "-") + ".jsonc"
	return os.WriteFile(filepath.Join(c.Dir, name), text, 0o600)
}

// awaitReady waits until the entry at url is ready.
func (c *processesCommand) awaitReady(url string) error {
	ctx, cancel := context.WithTimeout(c.ctx, readyTimeout)
	defer cancel()
	for ctx.Err() == nil {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/readyz", nil)
		if err != nil {
			return err
		}
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(readyPollInterval)
	}
	return eris.Errorf("%s did not become ready: /readyz did not return 200", url)
}
