package itest

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"wasabiweir/core/member"
)

// fakeInstanceList serves a platform's instance list, which a test can change, over HTTP.
type fakeInstanceList struct {
	mu   sync.Mutex
	list []member.ListedInstance
}

// setInstances replaces the list.
func (l *fakeInstanceList) setInstances(list ...member.ListedInstance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = list
}

// ServeHTTP answers with the list as JSON.
func (l *fakeInstanceList) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = json.NewEncoder(w).Encode(l.list)
}

// leavingTimeout is the time within which a leaving endpoint must get no more new work.
const leavingTimeout = 5 * time.Second

// Guards against new work for an engine that the instance list shows as leaving, addresses of leaving routers that are
// given to callers, and routers that get no shares of the account limits.
func TestLeavingInstances(t *testing.T) {
	t.Parallel()
	list := &fakeInstanceList{list: []member.ListedInstance{}}
	server := httptest.NewServer(list)
	defer server.Close()
	s := newSystem(t, systemSpec{controls: 3, routers: 2, engines: 2, controlArgs: []string{"-instance-list", server.URL}})
	list.setInstances(member.ListedInstance{Name: "engine-1", Address: s.engineAddresses[0], State: member.StateLeaving},
		member.ListedInstance{Name: "router-2", Address: s.routerAddresses[1], State: member.StateLeaving})
	eventually(t, leavingTimeout, func() error {
		st, err := s.statusAt(s.operatorAddresses)
		if err != nil {
			return err
		}
		for _, e := range st.Engines {
			if e.Name == "engine-1" && !e.Leaving {
				return errors.New("the status does not show engine-1 as leaving")
			}
		}
		// The routers follow different control processes, which poll the list at different times.
		return errors.Join(s.checkAddresses(s.routerAddresses[0], s.routerAddresses[0]), s.checkAddresses(s.routerAddresses[1], s.routerAddresses[0]))
	})
	before := readRawStats(t, s.engineAddresses[0])
	body := `{"model":"dente","prompt":"owner report","max_tokens":2,"seed":3}`
	for i := range 10 {
		if status, _, got := sendRequest(t, http.MethodPost, s.routerAddresses[i%2], "/v1/completions", body, nil); status != http.StatusOK {
			t.Fatalf("completion: %d %s", status, got)
		}
	}
	if after := readRawStats(t, s.engineAddresses[0]); after != before {
		t.Errorf("the leaving engine got %s, before %s", after, before)
	}
	list.setInstances()
	eventually(t, leavingTimeout, func() error { return s.checkAddresses(s.routerAddresses[0], s.routerAddresses...) })

	eventually(t, startTimeout, func() error {
		st, err := s.statusAt(s.operatorAddresses)
		for _, r := range st.Routers {
			if r.ShareFloor == 0 {
				return fmt.Errorf("router %s has no shares", r.Name)
			}
		}
		return err
	})
}

// checkAddresses returns an error unless the router gives callers exactly the wanted addresses.
func (s *system) checkAddresses(router string, want ...string) error {
	res, err := probeClient.Get("http://" + router + "/v1/addresses")
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return err
	}
	if n := strings.Count(string(data), `"address"`); n != len(want) {
		return fmt.Errorf("%d addresses: %s", n, data)
	}
	for _, a := range want {
		if !strings.Contains(string(data), `"`+a+`"`) {
			return fmt.Errorf("%s is missing: %s", a, data)
		}
	}
	return nil
}

// readRawStats returns the unparsed statistics of an engine.
func readRawStats(t testing.TB, engine string) string {
	t.Helper()
	_, _, body := sendRequest(t, http.MethodGet, engine, "/stats", "", nil)
	return body
}
