package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"

	"comfreyworks"
	"comfreyworks/internal/coordination/configuration"
	"comfreyworks/internal/protocol/logservice"
	"comfreyworks/internal/protocol/peer"
	"comfreyworks/internal/state/revision"
	"comfreyworks/internal/state/settings"
	"comfreyworks/internal/transport/admin"
)

const (
	// readLimit is the most records that one read asks for.
	readLimit = 4096
	// commandTimeout bounds one command, waits apart.
	commandTimeout = 20 * time.Second
	// statusTimeout bounds the question to one instance.
	statusTimeout = 2 * time.Second
	// waitPoll is how often a wait looks again.
	waitPoll = 200 * time.Millisecond
)

// errConflict means that another operator was faster.
var errConflict = errors.New("conflict")

// operator carries out the commands that talk to the platform.
type operator struct {
	ctx    context.Context
	out    io.Writer
	client *logservice.Client
	peers  *peer.Clients
	// weightsLoaded means that the engines serve the weights that a change
	// names already.
	weightsLoaded bool
}

// openOperator reads an operator file.
func openOperator(ctx context.Context, config string, out io.Writer) (*operator, error) {
	source, err := os.ReadFile(config)
	if err != nil {
		return nil, eris.Wrap(err, "--config")
	}
	operatorSettings, err := settings.ReadOperator(config, source)
	if err != nil {
		return nil, err
	}
	return &operator{
		ctx: ctx, out: out,
		client: logservice.NewClient(operatorSettings.Platform, http.DefaultClient),
		peers:  peer.NewClients(peer.ClientOptions{Secret: operatorSettings.PeerSecret, Clock: clockwork.NewRealClock()}),
	}, nil
}

func (o *operator) printf(format string, args ...any) { _, _ = fmt.Fprintf(o.out, format, args...) }

// steps reads and folds the whole stream.
func (o *operator) steps() ([]revision.Step, error) {
	ctx, cancel := context.WithTimeout(o.ctx, commandTimeout)
	defer cancel()
	var all []comfreyworks.Record
	for next := comfreyworks.Offset(0); ; {
		records, err := o.client.Read(ctx, configuration.Stream, next, readLimit, 0)
		if err != nil {
			return nil, eris.Wrap(err, "read the log")
		}
		if len(records) == 0 {
			return revision.Fold(all), nil
		}
		all = append(all, records...)
		next = records[len(records)-1].Offset + 1
	}
}

func readFile(file string) (*revision.Document, error) {
	source, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "read settings")
	}
	document, err := revision.Parse(file, source)
	var invalid *revision.Error
	if errors.As(err, &invalid) {
		return nil, invalid.Err
	}
	return document, err
}

// diff shows what applying a file would change.
func (o *operator) diff(file string) error {
	steps, err := o.steps()
	if err != nil {
		return err
	}
	next, err := readFile(file)
	if err != nil {
		return err
	}
	current := revision.Last(steps)
	o.printf("against revision %d\n%s", current.Number(), difference(current, next))
	return nil
}

// difference shows the changed sections line by line.
func difference(current, next *revision.Document) string {
	changed := current.Difference(next)
	if len(changed) == 0 {
		return "no difference\n"
	}
	return cmp.Diff(fields(current), fields(next))
}

func fields(document *revision.Document) map[string]any {
	var values map[string]any
	source, err := document.Source()
	if err == nil {
		err = json.Unmarshal(source, &values)
	}
	if err != nil {
		return nil
	}
	return values
}

// weightsChanged names the models whose weights a change would replace.
func weightsChanged(current, next *revision.Document) []comfreyworks.Model {
	var changed []comfreyworks.Model
	if current.Deployment() == nil {
		return nil
	}
	for _, model := range next.Deployment().Models {
		before := current.Deployment().Model(model.Name)
		if before != nil && before.Weights != model.Weights {
			changed = append(changed, model.Name)
		}
	}
	return changed
}

// apply proposes a document and reads back whether it won.
func (o *operator) apply(next *revision.Document, base *comfreyworks.ConfigRevision, author, message string) (comfreyworks.ConfigRevision, error) {
	steps, err := o.steps()
	if err != nil {
		return 0, err
	}
	current := revision.Last(steps)
	if base != nil && *base != current.Number() {
		return 0, o.conflict(steps, *base, next)
	}
	if len(current.Difference(next)) == 0 {
		o.printf("revision %d is in force already, nothing to change\n", current.Number())
		return current.Number(), nil
	}
	if models := weightsChanged(current, next); len(models) > 0 && !o.weightsLoaded {
		return 0, eris.Errorf("the weights of %v would change; engines are not told to load them, and until they serve them "+
			"every request for these models is refused: load them first and repeat with --weights-loaded", models)
	}
	data, err := json.Marshal(current.Propose(next, author, message, time.Now()))
	if err != nil {
		return 0, eris.Wrap(err, "write the record")
	}
	ctx, cancel := context.WithTimeout(o.ctx, commandTimeout)
	defer cancel()
	if _, err := o.client.Append(ctx, configuration.Stream, [][]byte{data}); err != nil {
		o.printf("the log's answer is lost or it refused: %v\n", err)
	}
	return o.readBack(current.Number(), next, author)
}

// readBack tells whether the proposal won. Also after a lost answer: the
// record is on the log or it is not.
func (o *operator) readBack(base comfreyworks.ConfigRevision, next *revision.Document, author string) (comfreyworks.ConfigRevision, error) {
	steps, err := o.steps()
	if err != nil {
		return 0, err
	}
	for _, step := range steps {
		if step.Document == nil || step.Record.Base != base || step.Record.Carried {
			continue
		}
		if step.Document.Digest() == next.Digest() && step.Record.Author == author {
			o.printf("revision %d accepted\n", step.Document.Number())
			return step.Document.Number(), nil
		}
		return 0, o.conflict(steps, base, next)
	}
	return 0, eris.New("the record is not on the log: not applied")
}

// conflict names the operator who was faster and what differs.
func (o *operator) conflict(steps []revision.Step, base comfreyworks.ConfigRevision, next *revision.Document) error {
	for _, step := range steps {
		if step.Document != nil && step.Record.Base == base && !step.Record.Carried {
			o.printf("revision %d by %s (%q) came first; against it your file changes:\n%s",
				step.Document.Number(), step.Record.Author, step.Record.Message, difference(step.Document, next))
		}
	}
	return eris.Wrapf(errConflict, "revision %d is no longer current", base)
}

// rollback makes an older revision's content the next revision.
func (o *operator) rollback(number comfreyworks.ConfigRevision, author string) (comfreyworks.ConfigRevision, error) {
	steps, err := o.steps()
	if err != nil {
		return 0, err
	}
	for _, step := range steps {
		if step.Document != nil && step.Document.Number() == number {
			return o.apply(step.Document, nil, author, fmt.Sprintf("back to revision %d", number))
		}
	}
	return 0, eris.Errorf("revision %d is not on the log", number)
}

// history lists every record and what became of it.
func (o *operator) history() error {
	steps, err := o.steps()
	if err != nil {
		return err
	}
	w := table.NewWriter()
	w.SetOutputMirror(o.out)
	w.SetStyle(table.StyleLight)
	w.AppendHeader(table.Row{"offset", "revision", "base", "author", "at", "message"})
	for _, step := range steps {
		became := "not taken: "
		if step.Document != nil {
			became = fmt.Sprint(step.Document.Number())
		} else {
			became += step.Err.Error()
		}
		w.AppendRow(table.Row{step.Offset, became, step.Record.Base, step.Record.Author, step.Record.At.Format(time.RFC3339), step.Record.Message})
	}
	w.Render()
	return nil
}

// instanceRevision is what one instance has in force.
type instanceRevision struct {
	instance comfreyworks.Instance
	revision comfreyworks.ConfigRevision
	err      error
}

// revisions asks every listed instance.
func (o *operator) revisions() ([]instanceRevision, error) {
	ctx, cancel := context.WithTimeout(o.ctx, commandTimeout)
	defer cancel()
	instances, err := o.client.Instances(ctx)
	if err != nil {
		return nil, eris.Wrap(err, "read the list of instances")
	}
	answers := make([]instanceRevision, len(instances))
	for i, instance := range instances {
		answers[i] = instanceRevision{instance: instance}
		answers[i].revision, answers[i].err = o.ask(ctx, instance)
	}
	return answers, nil
}

func (o *operator) ask(ctx context.Context, instance comfreyworks.Instance) (comfreyworks.ConfigRevision, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	if instance.Role == comfreyworks.RoleEntry {
		return admin.AskRevision(ctx, instance.Address)
	}
	// No revision is newer than the largest number, so no sections travel.
	update, err := o.peers.To(instance.Address).Pull(ctx, ^comfreyworks.ConfigRevision(0))
	return update.Revision, err
}

// status shows what every instance has in force.
func (o *operator) status() error {
	answers, err := o.revisions()
	if err != nil {
		return err
	}
	w := table.NewWriter()
	w.SetOutputMirror(o.out)
	w.SetStyle(table.StyleLight)
	w.AppendHeader(table.Row{"instance", "zone", "state", "revision"})
	for _, a := range answers {
		shown := fmt.Sprint(a.revision)
		if a.err != nil {
			shown = "no answer: " + a.err.Error()
		}
		w.AppendRow(table.Row{a.instance.ID, a.instance.Zone, a.instance.State, shown})
	}
	w.Render()
	return nil
}

// wait returns once every live instance has a revision in force.
func (o *operator) wait(number comfreyworks.ConfigRevision, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for {
		answers, err := o.revisions()
		if err != nil {
			return err
		}
		behind := 0
		for _, a := range answers {
			if a.instance.State == comfreyworks.InstanceLive && (a.err != nil || a.revision < number) {
				behind++
			}
		}
		o.printf("revision %d is in force on %d of %d instances\n", number, len(answers)-behind, len(answers))
		if behind == 0 {
			return nil
		}
		if time.Now().After(deadline) {
			return eris.Errorf("%d instances are behind after %s", behind, timeout)
		}
		time.Sleep(waitPoll)
	}
}
