package state

import (
	"errors"
	"fmt"
	"math"
	"net/url"
	"strconv"
	"strings"
	"testing"
	"time"

	"wasabiweir/core/codec"
	"wasabiweir/core/prop"

	"pgregory.net/rapid"
)

// validState returns a valid state with two services, two routes and two client accounts.
func validState() *State {
	return &State{
		Version: 3,
		Routes: []Route{
			{Name: "a", Host: "one.example", Prefix: "/a/", Timeout: time.Second, Shares: []ServiceShare{{"s", 1}}},
			{Name: "ab", Host: "one.example", Prefix: "/a/b/", Timeout: time.Second, Shares: []ServiceShare{{"s", 9}, {"t", 1}}, Public: true},
		},
		Services:     []Service{{Name: "s"}, {Name: "t"}},
		KeysRequired: true,
		Accounts:     []Account{{Name: "x", Keys: []string{"k1", "k2"}}, {Name: "y", Keys: []string{"k3"}}},
	}
}

// Guards against accepting any of the kinds of invalid state that the platform lists.
func TestInvalidStates(t *testing.T) {
	for name, c := range map[string]struct {
		change func(s *State)
		want   error
	}{
		"unknown service":          {func(s *State) { s.Routes[0].Shares[0].Service = "none" }, ErrUnknownService},
		"same host and prefix":     {func(s *State) { s.Routes[1].Prefix = "/a/" }, ErrDuplicatePrefix},
		"same host in other case":  {func(s *State) { s.Routes[1].Host, s.Routes[1].Prefix = "ONE.example", "/a/" }, ErrDuplicatePrefix},
		"same host with a port":    {func(s *State) { s.Routes[1].Host, s.Routes[1].Prefix = "one.example:80", "/a/" }, ErrDuplicatePrefix},
		"same host with a dot":     {func(s *State) { s.Routes[1].Host, s.Routes[1].Prefix = "one.example.", "/a/" }, ErrDuplicatePrefix},
		"same prefix, encoded":     {func(s *State) { s.Routes[1].Prefix = "/%61/" }, ErrDuplicatePrefix},
		"weights that add up to 0": {func(s *State) { s.Routes[1].Shares = []ServiceShare{{"s", 0}, {"t", 0}} }, ErrZeroWeight},
		"timeout of 0":             {func(s *State) { s.Routes[0].Timeout = 0 }, ErrZeroTimeout},
		"shared key":               {func(s *State) { s.Accounts[1].Keys = []string{"k2"} }, ErrDuplicateKey},
		"shared key, one name":     {func(s *State) { s.Accounts[1] = Account{Name: "x", Keys: []string{"k2"}} }, ErrDuplicateKey},
		"prefix without slash":     {func(s *State) { s.Routes[0].Prefix = "/a" }, ErrInvalidPrefix},
		"negative weight":          {func(s *State) { s.Routes[1].Shares[1].Weight = -1 }, ErrNegativeValue},
	} {
		s := validState()
		if err := s.Validate(); err != nil {
			t.Fatal(err)
		}
		c.change(s)
		if err := s.Validate(); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", name, err, c.want)
		}
	}
}

// Checks the choice of routes by host and longest prefix, of accounts by API key, and which routes need a key.
func TestIndex(t *testing.T) {
	x := NewConfigIndex(validState())
	for _, c := range []struct{ host, path, want string }{
		{"one.example", "/a/x", "a"},
		{"one.example", "/a/b/x", "ab"},
		{"ONE.example:80", "/a/b/", "ab"},
		{"one.example", "/a", ""},
		{"one.example", "/b/", ""},
		{"two.example", "/a/", ""},
	} {
		got := ""
		if r := x.Route(c.host, c.path); r != nil {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("route of %s%s is %q, want %q", c.host, c.path, got, c.want)
		}
	}
	if a := x.Account("k3"); a == nil || a.Name != "y" {
		t.Errorf("account of k3 is %+v, want y", a)
	}
	if x.Account("") != nil || x.Account("k4") != nil {
		t.Error("an unknown key has an account")
	}
	if !x.NeedsKey(x.Route("one.example", "/a/")) || x.NeedsKey(x.Route("one.example", "/a/b/")) {
		t.Error("want a key on the first route only")
	}
}

// Guards against a service of weight 0 that gets requests, and a last service of the list that gets none.
func TestPickFollowsWeights(t *testing.T) {
	r := Route{Shares: []ServiceShare{{"zero", 0}, {"nine", 9}, {"one", 1}}}
	count := map[string]int{}
	for i := range 1000 {
		count[r.PickService(float64(i)/1000)]++
	}
	if count["zero"] != 0 || count["nine"] != 900 || count["one"] != 100 {
		t.Errorf("draws gave %v, want 900 and 100", count)
	}
	if got := r.PickService(math.Nextafter(1, 0)); got != "one" {
		t.Errorf("the highest draw gives %q, want one", got)
	}
}

// encodeEntry returns the entry as it is stored in the log.
func encodeEntry(t prop.TestingT, e LogEntry) []byte {
	t.Helper()
	data, err := e.Encode()
	prop.FailIf(t, err != nil, "encode: %v", err)
	return data
}

// restoredCopy returns a machine that was restored from a snapshot of m.
func restoredCopy(t prop.TestingT, m *Machine) (out Machine) {
	t.Helper()
	saved, err := m.Snapshot()
	if err == nil {
		err = out.Restore(saved)
	}
	prop.FailIf(t, err != nil, "restore: %v", err)
	return out
}

// Guards against an entry of a lower version, or with other content under the version in force, taking effect, in any
// order of entries and after restoring snapshots.
func TestHighestVersionWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var m Machine
		documents := map[uint64]string{}
		var highest uint64
		for range rapid.IntRange(1, 40).Draw(t, "entries") {
			e := LogEntry{
				Version:  rapid.Uint64Range(1, 12).Draw(t, "version"),
				Document: []byte(rapid.StringMatching(`[a-z]{1,8}`).Draw(t, "document")),
			}
			data := encodeEntry(t, e)
			out := m.Apply(data)
			if e.Version > highest {
				highest = e.Version
				documents[highest] = string(e.Document)
			}
			current, ok := m.Current()
			if !ok || current.Version != highest || string(current.Document) != documents[highest] || out.Version != highest {
				t.Fatalf("version in force is %d %q after entry %d, want %d %q", current.Version, current.Document, e.Version, highest, documents[highest])
			}
			if rapid.Bool().Draw(t, "restart") {
				m = restoredCopy(t, &m)
			}
		}
	})
}

// Guards against undecodable entries or snapshots that change the state.
func TestUnreadableEntryChangesNothing(t *testing.T) {
	var m Machine
	e := LogEntry{Version: 1, Document: []byte("one")}
	data := encodeEntry(t, e)
	m.Apply(data)
	if out := m.Apply([]byte("garbage")); out.Err == nil || out.Changed || out.Version != 1 {
		t.Errorf("outcome of an unreadable entry is %+v", out)
	}
	if err := m.Restore([]byte("garbage")); err == nil || !strings.Contains(err.Error(), "restore") {
		t.Errorf("restore of garbage: %v", err)
	}
	if current, ok := m.Current(); !ok || current.Version != 1 {
		t.Errorf("entry in force is %+v, want version 1", current)
	}
}

// respell returns the host or path in another spelling that HTTP calls equal.
func respell(t *rapid.T, text string, spellings func(c byte) []string) string {
	var out strings.Builder
	for i := range len(text) {
		out.WriteString(rapid.SampledFrom(spellings(text[i])).Draw(t, "spelling"))
	}
	return out.String()
}

// hostSpellings returns the spellings of one character of a host.
func hostSpellings(c byte) []string {
	return []string{string(c), strings.ToUpper(string(c))}
}

// pathSpellings returns the spellings of one character of a path; only characters whose percent-encoding means the same
// have more than one.
func pathSpellings(c byte) []string {
	if c == '/' {
		return []string{"/"}
	}
	return []string{string(c), fmt.Sprintf("%%%02x", c), fmt.Sprintf("%%%02X", c)}
}

// Guards against a state that is accepted and whose routes do not get their own requests, because validation and lookup
// compare hosts and prefixes in different ways.
func TestRequestsReachTheirRoute(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &State{Version: 1, Services: []Service{{Name: "s"}}}
		for i := range rapid.IntRange(1, 6).Draw(t, "routes") {
			host := rapid.SampledFrom([]string{"a.b", "c", "10.0.0.1", "[fe80::1]"}).Draw(t, "host")
			prefix := rapid.SampledFrom([]string{"/", "/x/", "/x/y/", "/~/"}).Draw(t, "prefix")
			host = respell(t, host, hostSpellings) + rapid.SampledFrom([]string{"", ":80"}).Draw(t, "port")
			s.Routes = append(s.Routes, Route{
				Name: strconv.Itoa(i), Host: host, Prefix: respell(t, prefix, pathSpellings), Timeout: time.Second, Shares: []ServiceShare{{"s", 1}},
			})
		}
		if s.Validate() != nil {
			return
		}
		x := NewConfigIndex(s)
		for i := range s.Routes {
			r := &s.Routes[i]
			host, _, _ := strings.Cut(strings.ToLower(r.Host), ":80")
			if !strings.HasPrefix(host, "[") {
				host += rapid.SampledFrom([]string{"", "."}).Draw(t, "dot")
			}
			host = respell(t, host, hostSpellings) + rapid.SampledFrom([]string{"", ":80", ":8080"}).Draw(t, "request port")
			path, err := url.PathUnescape(r.Prefix)
			if err != nil {
				t.Fatal(err)
			}
			if got := x.Route(host, respell(t, path+"rest", pathSpellings)); got != r {
				t.Fatalf("a request to %s%s goes to route %+v, want %+v", host, path, got, r)
			}
		}
	})
}

// Guards against a large document that is stored, replicated and sent in its full size, and against an entry of an
// earlier version of the system, which is not compressed, that can no longer be read.
func TestDocumentsAreCompressed(t *testing.T) {
	large := []byte(strings.Repeat(`{"name":"r-1","host":"a.example","prefix":"/a/"},`, 20_000))
	for _, document := range [][]byte{large, []byte("x")} {
		e := NewLogEntry(7, document)
		data := encodeEntry(t, e)
		if len(data) > 2000 {
			t.Errorf("a document of %d bytes has an entry of %d", len(document), len(data))
		}
		requireDocument(t, data, document)
	}
	before, err := codec.Encode(struct {
		Version  uint64 `cbor:"1,keyasint"`
		Document []byte `cbor:"2,keyasint"`
	}{7, large})
	if err != nil {
		t.Fatal(err)
	}
	requireDocument(t, before, large)
	damaged := LogEntry{Version: 8, Compressed: []byte("damaged")}
	if _, err := damaged.Text(); err == nil {
		t.Error("a damaged document was read")
	}
}

// requireDocument requires that the document of version 7 is in force after the encoded entry and after a restart.
func requireDocument(t *testing.T, entry, document []byte) {
	t.Helper()
	var m Machine
	m.Apply(entry)
	restored := restoredCopy(t, &m)
	for _, machine := range []*Machine{&m, &restored} {
		current, ok := machine.Current()
		text, err := current.Text()
		if !ok || err != nil || current.Version != 7 || string(text) != string(document) {
			t.Fatalf("version %d has a document of %d bytes, %v; want %d", current.Version, len(text), err, len(document))
		}
	}
}
