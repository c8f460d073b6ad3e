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

// readyPoll is how often an entry is asked whether it is ready, readyTimeout
// how long.
const (
	readyPoll    = 50 * time.Millisecond
	readyTimeout = 30 * time.Second
)

// readyFile is the file that tells that all settings are written.
const readyFile = "ready"

// processesCommand runs the demo against roles that are processes of their
// own. It writes their settings and waits for somebody to start them.
type processesCommand struct {
	Dir string `long:"dir" required:"yes" description:"empty directory for the settings files" value-name:"DIR"`

	ctx context.Context
}

// instanceFile is an instance file as it is written.
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
		return eris.Wrap(err, "write the settings")
	}
	for i := range demoEntries {
		if err := c.awaitReady(r.EntryURL(i)); err != nil {
			return err
		}
	}
	return runDemo(c.ctx, r, deployment)
}

func (c *processesCommand) writeSettings(r *rig.Rig) error {
	const deploymentFile = "piedmont.jsonc"
	if err := os.WriteFile(filepath.Join(c.Dir, deploymentFile), examples.Piedmont, 0o600); err != nil {
		return err
	}
	for _, instance := range r.Instances() {
		if err := c.writeInstance(instance, deploymentFile); err != nil {
			return err
		}
	}
	return os.WriteFile(filepath.Join(c.Dir, readyFile), nil, 0o600)
}

func (c *processesCommand) writeInstance(instance settings.Instance, deploymentFile string) error {
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
		time.Sleep(readyPoll)
	}
	return eris.Errorf("%s is not ready", url)
}
