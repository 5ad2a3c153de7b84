package cmds

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"wasabiweir/core/config"
	"wasabiweir/core/object"
	"wasabiweir/io/ctrl"
	"wasabiweir/io/flags"
)

// callTimeout bounds one request of an operator command to a control process. If the command asks the process to wait
// for the routers, that time is added.
const callTimeout = 10 * time.Second

// maxAnswerBytes is the size in bytes of the part of a control process's answer that is read.
const maxAnswerBytes = 64 << 20

// operatorClient sends the requests of operator commands to the control processes' HTTP API, trying the processes in
// the order of their addresses.
type operatorClient struct {
	addresses flags.List
	token     string
}

// bindFlags registers the settings for the addresses of the control processes and the operator's access token.
func (c *operatorClient) bindFlags(set *flags.Set) {
	c.addresses = flags.List{"127.0.0.1:9080"}
	set.Var(&c.addresses, "control", "addresses of control processes, separated by commas; the first that answers is used")
	set.StringVar(&c.token, "token", "", "access token of the operator")
	set.MarkSecret("token")
	set.AddRule("control", "at least one address, each an IP number and a port", func() bool { return areAddressesValid(c.addresses) })
}

// operatorResponse is a control process's response to an operator command; revision is the configuration revision that
// the response header names.
type operatorResponse struct {
	status   int
	revision uint64
	body     []byte
}

// sendToAny sends a request to one control process after another until one responds with a status other than 503, and
// returns that response. timeout bounds the request to each process.
func (c *operatorClient) sendToAny(ctx context.Context, method, path string, query url.Values, body []byte, timeout time.Duration) (*operatorResponse, error) {
	var errs []error
	for _, address := range c.addresses {
		res, err := c.sendToAddress(ctx, address, method, path, query, body, timeout)
		if err == nil && res.status != http.StatusServiceUnavailable {
			return res, nil
		}
		if err == nil {
			err = eris.Errorf("%s: %s", address, strings.TrimSpace(string(res.body)))
		}
		errs = append(errs, err)
	}
	return nil, fmt.Errorf("no control process could serve the request: %w", errors.Join(errs...))
}

// sendToAddress sends one request with the operator's access token to the control process at the address.
func (c *operatorClient) sendToAddress(ctx context.Context, address, method, path string, query url.Values, body []byte, timeout time.Duration) (*operatorResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	u := url.URL{Scheme: "http", Host: address, Path: path, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, method, u.String(), bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	httpRes, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("call control: %w", err)
	}
	defer func() { _ = httpRes.Body.Close() }()
	res := &operatorResponse{status: httpRes.StatusCode}
	res.revision, _ = strconv.ParseUint(httpRes.Header.Get(ctrl.RevisionHeader), 10, 64)
	if res.body, err = io.ReadAll(io.LimitReader(httpRes.Body, maxAnswerBytes)); err != nil {
		return nil, fmt.Errorf("read answer: %w", err)
	}
	return res, nil
}

// sendGet sends a GET request to the control processes and returns the response; a status other than 200 is an error.
func (c *operatorClient) sendGet(ctx context.Context, path string, query url.Values) (*operatorResponse, error) {
	res, err := c.sendToAny(ctx, http.MethodGet, path, query, nil, callTimeout)
	if err != nil {
		return nil, err
	}
	if res.status != http.StatusOK {
		return nil, res.statusError()
	}
	return res, nil
}

// statusError returns an error with the status and the message of a control process's unsuccessful response.
func (res *operatorResponse) statusError() error {
	var detail struct {
		Error string `json:"error"`
	}
	if json.Unmarshal(res.body, &detail) == nil && detail.Error != "" {
		return eris.Errorf("control answered %d: %s", res.status, detail.Error)
	}
	return eris.Errorf("control answered %d: %s", res.status, res.body)
}

// bindApplyCommand registers the settings of the apply command, which publishes a change of the configuration.
func bindApplyCommand(set *flags.Set, inv *invocation) runFunc {
	var c operatorClient
	set.MaxArgs = 1
	c.bindFlags(set)
	dryRun := set.Bool("dry-run", false, "check the change and publish nothing")
	wait := set.Duration("wait", 0, "wait up to this time until each live router has the revision in force; 0 does not wait")
	requestID := set.String("request-id", "", "id of the change; a resend with the same id gets the first outcome")
	set.AddRule("wait", "between 0s and 10m", func() bool { return isDurationWithin(*wait, 0, 10*time.Minute) })
	return func(ctx context.Context) error {
		if set.NArg() != 1 {
			return &usageError{eris.New("apply needs one file; - is the standard input")}
		}
		a := &changeApplier{client: &c, file: set.Arg(0), dryRun: *dryRun, wait: *wait, requestID: *requestID, inv: inv}
		return a.run(ctx)
	}
}

// changeApplier runs the apply command: it publishes the configuration change that one file describes.
type changeApplier struct {
	client    *operatorClient
	inv       *invocation
	file      string
	dryRun    bool
	wait      time.Duration
	requestID string
}

// run validates the file with the configuration change locally, sends it to a control process and prints whether the
// change was accepted.
func (a *changeApplier) run(ctx context.Context) error {
	data, err := a.readChange()
	if err != nil {
		return err
	}
	if _, err := object.ParseChange(a.file, data); err != nil {
		return fmt.Errorf("nothing was changed:\n%w", err)
	}
	if data, err = a.addChangeDefaults(ctx, data); err != nil {
		return err
	}
	query := url.Values{}
	if a.dryRun {
		query.Set("dry-run", "true")
	}
	if a.wait > 0 {
		query.Set("wait-ms", strconv.FormatInt(a.wait.Milliseconds(), 10))
	}
	res, err := a.client.sendToAny(ctx, http.MethodPost, "/v1/changes", query, data, callTimeout+a.wait)
	if err != nil {
		return err
	}
	return a.printChangeOutcome(res)
}

// readChange returns the contents of the file with the configuration change, or of the standard input if the file is
// "-".
func (a *changeApplier) readChange() ([]byte, error) {
	if a.file == "-" {
		data, err := io.ReadAll(os.Stdin)
		if err != nil {
			return nil, fmt.Errorf("read standard input: %w", err)
		}
		return data, nil
	}
	data, err := os.ReadFile(a.file)
	if err != nil {
		return nil, fmt.Errorf("read change: %w", err)
	}
	return data, nil
}

// addChangeDefaults adds a request id, and the current configuration revision as the base, to a configuration change
// that lacks them.
func (a *changeApplier) addChangeDefaults(ctx context.Context, data []byte) ([]byte, error) {
	var doc map[string]json.RawMessage
	if err := json.Unmarshal(data, &doc); err != nil {
		return nil, fmt.Errorf("decode change: %w", err)
	}
	if a.requestID == "" {
		a.requestID = uuid.NewString()
	}
	if _, ok := doc["request-id"]; !ok {
		doc["request-id"], _ = json.Marshal(a.requestID)
	}
	if _, ok := doc["base-revision"]; !ok {
		current, err := a.client.sendGet(ctx, "/v1/objects", nil)
		if err != nil {
			return nil, err
		}
		doc["base-revision"], _ = json.Marshal(current.revision)
	}
	out, err := json.Marshal(doc)
	if err != nil {
		return nil, fmt.Errorf("encode change: %w", err)
	}
	return out, nil
}

// printChangeOutcome prints the control process's response if the configuration change was accepted; any other
// response is returned as an error.
func (a *changeApplier) printChangeOutcome(res *operatorResponse) error {
	var p ctrl.ChangeResult
	if err := json.Unmarshal(res.body, &p); err != nil || p.Status == "" {
		return res.statusError()
	}
	switch p.Status {
	case config.StatusAccepted:
		return a.printAcceptedChange(p)
	case config.StatusConflict:
		return eris.Errorf("conflict: revision %d was accepted on the same base, nothing was changed; objects that differ: %s", p.AcceptedRevision, joinRefs(p.Differences))
	case config.StatusReused:
		return eris.New("request-id-reused: the request id belongs to another change, nothing was changed")
	default:
		lines := make([]string, 0, len(p.Findings))
		for _, f := range p.Findings {
			lines = append(lines, a.file+": "+f.String())
		}
		return eris.Errorf("invalid, nothing was changed:\n%s", strings.Join(lines, "\n"))
	}
}

// printAcceptedChange prints the new configuration revision and the routers that use it; it fails if some routers do
// not use the revision yet.
func (a *changeApplier) printAcceptedChange(p ctrl.ChangeResult) error {
	if a.dryRun {
		fmt.Fprintln(a.inv.stdout, "valid; nothing was changed (dry run)")
		return nil
	}
	fmt.Fprintf(a.inv.stdout, "accepted as revision %d\n", p.Revision)
	if a.wait == 0 {
		return nil
	}
	fmt.Fprintf(a.inv.stdout, "in force at %d routers: %s\n", len(p.Confirmed), strings.Join(p.Confirmed, ", "))
	if len(p.Missing) > 0 {
		return eris.Errorf("not yet in force at %s", strings.Join(p.Missing, ", "))
	}
	return nil
}

// joinRefs returns the references of the configuration objects in a list of differences, separated by commas.
func joinRefs(list []object.Difference) string {
	names := make([]string, 0, len(list))
	for _, d := range list {
		names = append(names, d.Ref.String())
	}
	return strings.Join(names, ", ")
}

// bindGetCommand registers the settings of the get command, which prints configuration objects.
func bindGetCommand(set *flags.Set, inv *invocation) runFunc {
	var c operatorClient
	set.MaxArgs = 2
	c.bindFlags(set)
	return func(ctx context.Context) error {
		query := url.Values{}
		if set.NArg() > 0 {
			query.Set("kind", set.Arg(0))
		}
		if set.NArg() > 1 {
			query.Set("name", set.Arg(1))
		}
		res, err := c.sendGet(ctx, "/v1/objects", query)
		if err != nil {
			return err
		}
		_, err = inv.stdout.Write(res.body)
		return err
	}
}

// bindDiffCommand registers the settings of the diff command, which prints the differences between two configuration
// revisions.
func bindDiffCommand(set *flags.Set, inv *invocation) runFunc {
	var c operatorClient
	set.MaxArgs = 2
	c.bindFlags(set)
	return func(ctx context.Context) error {
		if set.NArg() != 2 {
			return &usageError{eris.New("diff needs two revisions")}
		}
		res, err := c.sendGet(ctx, "/v1/diff", url.Values{"from": {set.Arg(0)}, "to": {set.Arg(1)}})
		if err != nil {
			return err
		}
		var list []object.Difference
		if err := json.Unmarshal(res.body, &list); err != nil {
			return fmt.Errorf("decode diff: %w", err)
		}
		for _, d := range list {
			fmt.Fprintf(inv.stdout, "%s\t%s\t%s\n", d.Ref, d.Change, strings.Join(d.Fields, ", "))
		}
		return nil
	}
}

// bindHistoryCommand registers the settings of the history command, which lists the latest configuration revisions.
func bindHistoryCommand(set *flags.Set, inv *invocation) runFunc {
	var c operatorClient
	c.bindFlags(set)
	limit := set.Int("limit", 20, "number of revisions")
	set.AddRule("limit", "between 1 and 1000", func() bool { return *limit >= 1 && *limit <= 1000 })
	return func(ctx context.Context) error {
		res, err := c.sendGet(ctx, "/v1/history", url.Values{"limit": {strconv.Itoa(*limit)}})
		if err != nil {
			return err
		}
		var list []config.RevisionRecord
		if err := json.Unmarshal(res.body, &list); err != nil {
			return fmt.Errorf("decode history: %w", err)
		}
		tw := tabwriter.NewWriter(inv.stdout, 0, 4, 2, ' ', 0)
		fmt.Fprintln(tw, "REVISION\tTIME\tOPERATOR\tREQUEST\tOBJECTS")
		for _, r := range list {
			fmt.Fprintf(tw, "%d\t%s\t%s\t%s\t%d\n", r.Revision, time.UnixMilli(r.TimeMS).UTC().Format(time.RFC3339), r.Author, r.RequestID, len(r.Objects))
		}
		return tw.Flush()
	}
}

// bindStatusCommand registers the settings of the status command, which prints the state of the whole system.
func bindStatusCommand(set *flags.Set, inv *invocation) runFunc {
	var c operatorClient
	c.bindFlags(set)
	f := bindFormatSetting(set)
	return func(ctx context.Context) error {
		res, err := c.sendGet(ctx, "/v1/status", nil)
		if err != nil {
			return err
		}
		if *f == formatJSON {
			_, err := inv.stdout.Write(res.body)
			return err
		}
		var s ctrl.Status
		if err := json.Unmarshal(res.body, &s); err != nil {
			return fmt.Errorf("decode status: %w", err)
		}
		return printStatus(inv.stdout, s)
	}
}

// printStatus writes tables of the Raft groups, routers and engines in the status, and then its list of problems.
func printStatus(w io.Writer, s ctrl.Status) error {
	fmt.Fprintf(w, "revision %d, seen by control %s, quorum %t\n\n", s.Revision, s.Control, s.Quorum)
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(tw, "GROUP\tLEADER\tTERM\tCOMMIT\tVOTERS\tLEARNERS\tCOMPLETE")
	for _, g := range s.Groups {
		fmt.Fprintf(tw, "%s\t%s\t%d\t%d\t%s\t%s\t%t\n", g.Name, g.Leader, g.Term, g.Commit, strings.Join(g.Voters, ","), strings.Join(g.Learners, ","), g.Complete)
	}
	fmt.Fprintln(tw, "\nROUTER\tADDRESS\tDOMAIN\tREVISION\tFRESH\tDRAINING\tIN-FLIGHT")
	for _, r := range s.Routers {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%d\t%t\t%t\t%d\n", r.Name, r.Address, r.Domain, r.Revision, r.Fresh, r.Draining, r.InFlight)
	}
	if len(s.Engines) > 0 {
		fmt.Fprintln(tw, "\nENGINE\tADDRESS\tDOMAIN\tANSWERS\tHEALTH\tLEAVING\tMODELS\tADAPTERS\tLAST ORDER")
	}
	for _, e := range s.Engines {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%t\t%.2f\t%t\t%s\t%s\t%s\n", e.Name, e.Address, e.Domain, e.Answers, e.Health, e.Leaving, e.Models, e.Adapters, e.Order)
	}
	if err := tw.Flush(); err != nil {
		return fmt.Errorf("print status: %w", err)
	}
	for _, p := range s.Problems {
		fmt.Fprintf(w, "\nproblem: %s", p)
	}
	if len(s.Problems) == 0 {
		fmt.Fprint(w, "\nno problems")
	}
	fmt.Fprintln(w)
	return nil
}
