package itest

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"wasabiweir/core/config"
	"wasabiweir/io/ctrl"
)

// operatorTimeout limits one request; it is longer than the 5 s after which a control process gives up.
const operatorTimeout = 8 * time.Second

// operatorClient sends the requests of operators, each on a new connection.
var operatorClient = http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// operatorRequest sends a request to a control process and returns the status, header and body of the response.
func operatorRequest(method, address, path, body string) (int, http.Header, []byte, error) {
	return operatorRequestWithin(operatorTimeout, method, address, path, body)
}

// operatorRequestWithin is operatorRequest with a time limit.
func operatorRequestWithin(limit time.Duration, method, address, path, body string) (int, http.Header, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewBufferString(body))
	if err != nil {
		return 0, nil, nil, err
	}
	req.Header.Set("Authorization", "Bearer "+operatorToken)
	res, err := operatorClient.Do(req)
	if err != nil {
		return 0, nil, nil, err
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	return res.StatusCode, res.Header, data, err
}

// confirmedRevision returns the revision that a control process confirms with a quorum.
func confirmedRevision(address string) (uint64, error) {
	return confirmedRevisionWithin(address, operatorTimeout)
}

// confirmedRevisionWithin is confirmedRevision with a time limit.
func confirmedRevisionWithin(address string, limit time.Duration) (uint64, error) {
	status, header, data, err := operatorRequestWithin(limit, http.MethodGet, address, "/v1/objects?kind=service", "")
	if err != nil {
		return 0, err
	}
	if status != http.StatusOK {
		return 0, errors.New(string(data))
	}
	return strconv.ParseUint(header.Get(ctrl.RevisionHeader), 10, 64)
}

// accountChange returns the body of a change that adds an account.
func accountChange(id string, base uint64, name string) string {
	return fmt.Sprintf(`{"request-id":%q,"base-revision":%d,"objects":[{"kind":"account","name":%q,"token-hashes":[%q]}]}`,
		id, base, name, hashToken(name))
}

// publishChange sends a change to a control process and returns its outcome, or an error if the outcome is unknown.
func publishChange(address, change string) (ctrl.ChangeResult, error) {
	var p ctrl.ChangeResult
	_, _, data, err := operatorRequest(http.MethodPost, address, "/v1/changes", change)
	if err != nil {
		return p, err
	}
	if err := json.Unmarshal(data, &p); err != nil || p.Status == "" {
		return p, errors.New(string(data))
	}
	return p, nil
}

// addAccount adds an account through any of the control processes and returns the outcome. After an error it sends the
// same request id to the next process; after a conflict it retries with the newer base revision.
func addAccount(addresses []string, name string, deadline time.Time) (ctrl.ChangeResult, error) {
	err := errors.New("not tried")
	for try := 0; time.Now().Before(deadline); try++ {
		var base uint64
		address := addresses[try%len(addresses)]
		if base, err = confirmedRevision(address); err != nil {
			continue
		}
		var p ctrl.ChangeResult
		if p, err = resendUntilAnswered(addresses, try, accountChange(fmt.Sprintf("%s-%d", name, try), base, name), deadline); err != nil {
			continue
		}
		if p.Status == config.StatusAccepted {
			return p, nil
		}
		err = errors.New(string(p.Status))
	}
	return ctrl.ChangeResult{}, err
}

// resendUntilAnswered sends a change to one process after the other until one returns its outcome.
func resendUntilAnswered(addresses []string, first int, change string, deadline time.Time) (ctrl.ChangeResult, error) {
	err := errors.New("not tried")
	for try := first; time.Now().Before(deadline); try++ {
		var p ctrl.ChangeResult
		if p, err = publishChange(addresses[try%len(addresses)], change); err == nil {
			return p, nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return ctrl.ChangeResult{}, err
}

// mustAddAccount adds an account and stops the test unless the change is accepted.
func (s *system) mustAddAccount(addresses []string, name string) ctrl.ChangeResult {
	s.t.Helper()
	p, err := addAccount(addresses, name, time.Now().Add(startTimeout))
	if err != nil {
		s.t.Fatalf("change %s: %v", name, err)
	}
	return p
}

// accountNames returns the names of the accounts that a control process confirms with a quorum.
func (s *system) accountNames(address string) []string {
	s.t.Helper()
	status, _, data, err := operatorRequest(http.MethodGet, address, "/v1/objects?kind=account", "")
	if err != nil || status != http.StatusOK {
		s.t.Fatalf("read accounts: %d %s %v", status, data, err)
	}
	var doc struct {
		Objects []struct{ Name string }
	}
	if err := json.Unmarshal(data, &doc); err != nil {
		s.t.Fatal(err)
	}
	var names []string
	for _, o := range doc.Objects {
		names = append(names, o.Name)
	}
	return names
}

// verifyAccounts checks that a control process has the accounts of all acknowledged changes.
func (s *system) verifyAccounts(address string, want []string) {
	s.t.Helper()
	got := s.accountNames(address)
	for _, name := range want {
		if !slices.Contains(got, name) {
			s.t.Errorf("the acknowledged change %s is lost at %s", name, address)
		}
	}
}

// leaderIndex returns the index of the control process that leads the configuration group.
func (s *system) leaderIndex() int {
	s.t.Helper()
	at := -1
	eventually(s.t, startTimeout, func() error {
		st, err := s.statusAt(s.operatorAddresses)
		if err != nil {
			return err
		}
		if len(st.Groups) == 0 || !st.Quorum {
			return errors.New("no quorum")
		}
		_, err = fmt.Sscanf(st.Groups[0].Leader, "control-%d", &at)
		return err
	})
	return at - 1
}

// statusAt returns the status from the first process that answers.
func (s *system) statusAt(addresses []string) (ctrl.Status, error) {
	var st ctrl.Status
	err := errors.New("no process answered")
	for _, a := range addresses {
		var data []byte
		if _, _, data, err = operatorRequest(http.MethodGet, a, "/v1/status", ""); err == nil {
			return st, json.Unmarshal(data, &st)
		}
	}
	return st, err
}

// operatorsExcept returns the operator addresses of all control processes but the given ones.
func (s *system) operatorsExcept(processes ...int) []string {
	var out []string
	for i, a := range s.operatorAddresses {
		if !slices.Contains(processes, i) {
			out = append(out, a)
		}
	}
	return out
}

// routerReadiness is the body of a router's readiness response.
type routerReadiness struct {
	Ready    bool
	Revision uint64
	Fresh    bool
}

// probeClient sends the requests that poll routers.
var probeClient = http.Client{Timeout: 2 * time.Second}

// readReadiness returns the readiness of the router at the address.
func readReadiness(address string) (routerReadiness, error) {
	var st routerReadiness
	res, err := probeClient.Get("http://" + address + "/readyz")
	if err != nil {
		return st, err
	}
	defer func() { _ = res.Body.Close() }()
	return st, json.NewDecoder(res.Body).Decode(&st)
}

// revisionWatch polls the routers in the background and fails the test if one serves a lower revision than before.
type revisionWatch struct {
	t               testing.TB
	routerAddresses []string
	stop            chan struct{}
	wg              sync.WaitGroup
}

// watchRevisions starts a revisionWatch for all routers.
func (s *system) watchRevisions() *revisionWatch {
	w := &revisionWatch{t: s.t, routerAddresses: s.routerAddresses, stop: make(chan struct{})}
	for _, a := range w.routerAddresses {
		w.wg.Add(1)
		go w.loop(a)
	}
	return w
}

// loop polls one router until the watch is finished.
func (w *revisionWatch) loop(address string) {
	defer w.wg.Done()
	var highest uint64
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		st, err := readReadiness(address)
		if err != nil || !st.Ready {
			continue
		}
		if st.Revision < highest {
			w.t.Errorf("router %s went from revision %d back to %d", address, highest, st.Revision)
			return
		}
		highest = st.Revision
	}
}

// finish stops the polling and waits for its end.
func (w *revisionWatch) finish() {
	close(w.stop)
	w.wg.Wait()
}

// waitInForce waits until each router has applied the revision and returns how long that took.
func (s *system) waitInForce(revision uint64, limit time.Duration) time.Duration {
	s.t.Helper()
	begin := time.Now()
	for _, a := range s.routerAddresses {
		eventually(s.t, limit, func() error {
			st, err := readReadiness(a)
			if err == nil && st.Revision < revision {
				err = fmt.Errorf("router %s has revision %d, want %d", a, st.Revision, revision)
			}
			return err
		})
	}
	return time.Since(begin)
}

// checkGroupsComplete returns an error unless all groups have all their members, so that one of them may be lost.
func (s *system) checkGroupsComplete(addresses []string) error {
	st, err := s.statusAt(addresses)
	if err != nil {
		return err
	}
	for _, g := range st.Groups {
		if !g.Complete {
			return fmt.Errorf("group %s is not complete: %v", g.Name, g.Missing)
		}
	}
	return nil
}
