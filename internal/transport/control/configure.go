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
	// maxRecordsPerRead limits the records that one read of the log returns.
	maxRecordsPerRead = 4096
	// commandTimeout limits each step of a command: reading the whole log,
	// appending to it, or asking all instances. It does not limit --wait.
	commandTimeout = 20 * time.Second
	// instanceTimeout limits the request for the revision of one instance.
	instanceTimeout = 2 * time.Second
	// waitPollInterval is the pause between two checks of --wait.
	waitPollInterval = 200 * time.Millisecond
)

// errConflict means that another operator's change was applied first.
var errConflict = errors.New("another change was applied first")

// session executes one command that communicates with the platform and with
// instances.
type session struct {
	ctx      context.Context
	out      io.Writer
	platform *logservice.Client
	peers    *peer.Clients
	// weightsLoaded means that, according to the operator, the engines already
	// serve the weights that the change declares.
	weightsLoaded bool
}

// openSession reads an operator settings file and returns a session with its
// settings.
func openSession(ctx context.Context, config string, out io.Writer) (*session, error) {
	source, err := os.ReadFile(config)
	if err != nil {
		return nil, eris.Wrap(err, "read the operator settings file given by --config")
	}
	operatorSettings, err := settings.ReadOperator(config, source)
	if err != nil {
		return nil, err
	}
	return &session{
		ctx: ctx, out: out,
		platform: logservice.NewClient(operatorSettings.Platform, http.DefaultClient),
		peers:    peer.NewClients(peer.ClientOptions{Secret: operatorSettings.PeerSecret, Clock: clockwork.NewRealClock()}),
	}, nil
}

func (s *session) printf(format string, args ...any) { _, _ = fmt.Fprintf(s.out, format, args...) }

// readHistory reads all records of the configuration stream and returns the
// history entry of each.
func (s *session) readHistory() ([]revision.HistoryEntry, error) {
	ctx, cancel := context.WithTimeout(s.ctx, commandTimeout)
	defer cancel()
	var all []comfreyworks.Record
	for next := comfreyworks.Offset(0); ; {
		records, err := s.platform.Read(ctx, configuration.Stream, next, maxRecordsPerRead, 0)
		if err != nil {
			return nil, eris.Wrap(err, "read the log")
		}
		if len(records) == 0 {
			return revision.Replay(all), nil
		}
		all = append(all, records...)
		next = records[len(records)-1].Offset + 1
	}
}

// readDocument reads and validates a deployment file. It also returns the warnings
// about it.
func readDocument(file string) (*revision.Document, settings.Problems, error) {
	source, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, eris.Wrap(err, "read the deployment file")
	}
	_, warnings, err := settings.ReviewDeployment(file, source)
	if err != nil {
		return nil, nil, err
	}
	document, err := revision.Parse(file, source)
	var invalid *revision.Error
	if errors.As(err, &invalid) {
		return nil, nil, invalid.Err
	}
	return document, warnings, err
}

// printDiffs prints for each valid file what applying it would change.
func (s *session) printDiffs(files []string) error {
	var all []error
	for _, file := range files {
		if _, _, err := readDocument(file); err != nil {
			continue
		}
		s.printf("%s: ", file)
		all = append(all, s.printDiff(file))
	}
	return errors.Join(all...)
}

// printDiff prints what applying a file would change.
func (s *session) printDiff(file string) error {
	history, err := s.readHistory()
	if err != nil {
		return err
	}
	next, _, err := readDocument(file)
	if err != nil {
		return err
	}
	current := revision.Newest(history)
	s.printf("against revision %d\n%s", current.Number(), formatDiff(current, next))
	return nil
}

// formatDiff returns the differences between two documents line by line.
func formatDiff(current, next *revision.Document) string {
	changed := current.Difference(next)
	if len(changed) == 0 {
		return "no difference\n"
	}
	return cmp.Diff(decodeFields(current), decodeFields(next))
}

// decodeFields returns the top-level sections of a document, or nil if its
// JSON cannot be decoded.
func decodeFields(document *revision.Document) map[string]any {
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

// modelsWithChangedWeights returns the models in both documents whose weights
// differ.
func modelsWithChangedWeights(current, next *revision.Document) []comfreyworks.Model {
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

// apply appends a record that proposes a document as the next revision and
// returns its number if it was accepted. If the document does not differ from
// the revision in force, apply appends nothing and returns that revision. A base
// other than nil is the revision that must still be in force.
func (s *session) apply(next *revision.Document, base *comfreyworks.ConfigRevision, author, message string) (comfreyworks.ConfigRevision, error) {
	history, err := s.readHistory()
	if err != nil {
		return 0, err
	}
	current := revision.Newest(history)
	if base != nil && *base != current.Number() {
		return 0, s.reportConflict(history, *base, next)
	}
	if len(current.Difference(next)) == 0 {
		s.printf("revision %d is in force already, nothing to change\n", current.Number())
		return current.Number(), nil
	}
	if models := modelsWithChangedWeights(current, next); len(models) > 0 && !s.weightsLoaded {
		return 0, eris.Errorf("the weights of %v would change, but this command does not load them into engines, and requests for these "+
			"models are refused until their engines serve the new weights: load them first, then repeat with --weights-loaded", models)
	}
	data, err := json.Marshal(current.Propose(next, author, message, time.Now()))
	if err != nil {
		return 0, eris.Wrap(err, "encode the record")
	}
	ctx, cancel := context.WithTimeout(s.ctx, commandTimeout)
	defer cancel()
	if _, err := s.platform.Append(ctx, configuration.Stream, [][]byte{data}); err != nil {
		s.printf("the log's answer is lost or it refused: %v\n", err)
	}
	return s.checkApplied(current.Number(), next, author)
}

// checkApplied reads the log to determine whether the proposal was accepted.
// This also works if the response to the append was lost.
func (s *session) checkApplied(base comfreyworks.ConfigRevision, next *revision.Document, author string) (comfreyworks.ConfigRevision, error) {
	history, err := s.readHistory()
	if err != nil {
		return 0, err
	}
	for _, entry := range history {
		if entry.Document == nil || entry.Record.Base != base || entry.Record.Snapshot {
			continue
		}
		if entry.Document.Digest() == next.Digest() && entry.Record.Author == author {
			s.printf("revision %d accepted\n", entry.Document.Number())
			return entry.Document.Number(), nil
		}
		return 0, s.reportConflict(history, base, next)
	}
	return 0, eris.New("the change was not applied: its record is not in the log")
}

// reportConflict prints who made the conflicting change and how the file
// differs from it, and returns an error that wraps errConflict.
func (s *session) reportConflict(history []revision.HistoryEntry, base comfreyworks.ConfigRevision, next *revision.Document) error {
	for _, entry := range history {
		if entry.Document != nil && entry.Record.Base == base && !entry.Record.Snapshot {
			s.printf("revision %d by %s (%q) came first; against it your file changes:\n%s",
				entry.Document.Number(), entry.Record.Author, entry.Record.Message, formatDiff(entry.Document, next))
		}
	}
	return eris.Wrapf(errConflict, "revision %d is no longer current", base)
}

// rollback applies the content of an older revision as the next revision.
func (s *session) rollback(number comfreyworks.ConfigRevision, author string) (comfreyworks.ConfigRevision, error) {
	history, err := s.readHistory()
	if err != nil {
		return 0, err
	}
	for _, entry := range history {
		if entry.Document != nil && entry.Document.Number() == number {
			return s.apply(entry.Document, nil, author, fmt.Sprintf("back to revision %d", number))
		}
	}
	return 0, eris.Errorf("revision %d is not in the log", number)
}

// printHistory prints every record with the revision that it made, or the
// reason why it made none.
func (s *session) printHistory() error {
	history, err := s.readHistory()
	if err != nil {
		return err
	}
	w := table.NewWriter()
	w.SetOutputMirror(s.out)
	w.SetStyle(table.StyleLight)
	w.AppendHeader(table.Row{"offset", "revision", "base", "author", "at", "message"})
	for _, entry := range history {
		outcome := "not taken: "
		if entry.Document != nil {
			outcome = fmt.Sprint(entry.Document.Number())
		} else {
			outcome += entry.Err.Error()
		}
		w.AppendRow(table.Row{entry.Offset, outcome, entry.Record.Base, entry.Record.Author, entry.Record.At.Format(time.RFC3339), entry.Record.Message})
	}
	w.Render()
	return nil
}

// instanceRevision is the revision that one instance has in force, or the error
// that occurred when it was requested.
type instanceRevision struct {
	instance comfreyworks.Instance
	revision comfreyworks.ConfigRevision
	err      error
}

// fetchRevisions asks every listed instance for its revision.
func (s *session) fetchRevisions() ([]instanceRevision, error) {
	ctx, cancel := context.WithTimeout(s.ctx, commandTimeout)
	defer cancel()
	instances, err := s.platform.Instances(ctx)
	if err != nil {
		return nil, eris.Wrap(err, "read the list of instances")
	}
	results := make([]instanceRevision, len(instances))
	for i, instance := range instances {
		results[i] = instanceRevision{instance: instance}
		results[i].revision, results[i].err = s.fetchRevision(ctx, instance)
	}
	return results, nil
}

// fetchRevision asks one instance for its revision, over HTTP or RPC depending
// on its role.
func (s *session) fetchRevision(ctx context.Context, instance comfreyworks.Instance) (comfreyworks.ConfigRevision, error) {
	ctx, cancel := context.WithTimeout(ctx, instanceTimeout)
	defer cancel()
	if instance.Role == comfreyworks.RoleEntry {
		return admin.FetchRevision(ctx, instance.Address)
	}
	// No revision is newer than the largest number, so the reply contains no
	// sections.
	update, err := s.peers.To(instance.Address).Pull(ctx, ^comfreyworks.ConfigRevision(0))
	return update.Revision, err
}

// printStatus prints the revision that every instance has in force.
func (s *session) printStatus() error {
	results, err := s.fetchRevisions()
	if err != nil {
		return err
	}
	w := table.NewWriter()
	w.SetOutputMirror(s.out)
	w.SetStyle(table.StyleLight)
	w.AppendHeader(table.Row{"instance", "zone", "state", "revision"})
	for _, result := range results {
		text := fmt.Sprint(result.revision)
		if result.err != nil {
			text = "no answer: " + result.err.Error()
		}
		w.AppendRow(table.Row{result.instance.ID, result.instance.Zone, result.instance.State, text})
	}
	w.Render()
	return nil
}

// waitInForce returns when every live instance has a revision, or a newer one,
// in force. It fails after timeout.
func (s *session) waitInForce(number comfreyworks.ConfigRevision, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for {
		results, err := s.fetchRevisions()
		if err != nil {
			return err
		}
		behind := 0
		for _, result := range results {
			if result.instance.State == comfreyworks.InstanceLive && (result.err != nil || result.revision < number) {
				behind++
			}
		}
		s.printf("revision %d is in force on %d of %d instances\n", number, len(results)-behind, len(results))
		if behind == 0 {
			return nil
		}
		if time.Now().After(deadline) {
			return eris.Errorf("revision %d is not in force on %d live instances after %s", number, behind, timeout)
		}
		time.Sleep(waitPollInterval)
	}
}
