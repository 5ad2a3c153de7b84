package stand

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/oklog/run"
)

// StateGone is the instance state that, in a posted change, removes an instance from the simulated platform's list.
const StateGone = "gone"

// Instance is one entry of the simulated platform's list of instances. State is live or leaving, or StateGone in a
// change.
type Instance struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	State   string `json:"state"`
}

// Listing simulates the hosting platform's list of instances. GET returns the list as it was Lag ago, and POST adds,
// replaces or removes entries.
type Listing struct {
	Server
	// Instances is the initial content of the list of instances.
	Instances []Instance
	// Lag is the age of the list of instances that GET returns.
	Lag time.Duration

	listMu   sync.Mutex    // guards versions
	versions []listVersion // oldest first
}

// listVersion is the content of the list of instances from the time validFrom until the next version.
type listVersion struct {
	validFrom time.Time
	rows      []Instance
}

// Run serves requests for the list of instances until ctx ends. It returns an error if the listener fails.
func (l *Listing) Run(ctx context.Context) error {
	if err := l.openListener(); err != nil {
		return err
	}
	l.listMu.Lock()
	l.versions = []listVersion{{rows: append([]Instance{}, l.Instances...)}}
	l.listMu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, l.laggedInstances()) })
	mux.HandleFunc("POST /", l.handleChange)
	var g run.Group
	l.addHTTPServer(ctx, &g, mux)
	return runResult(g.Run())
}

// laggedInstances returns the newest version of the list of instances that is at least Lag old, or the initial list if
// there is none. It drops the versions before it.
func (l *Listing) laggedInstances() []Instance {
	l.listMu.Lock()
	defer l.listMu.Unlock()
	due := l.Clock.Now().Add(-l.Lag)
	for len(l.versions) > 1 && !l.versions[1].validFrom.After(due) {
		l.versions = l.versions[1:]
	}
	return l.versions[0].rows
}

// handleChange handles POST requests that change entries of the list of instances.
func (l *Listing) handleChange(w http.ResponseWriter, r *http.Request) {
	var rows []Instance
	if !decodeBody(w, r, &rows) {
		return
	}
	l.putInstances(rows)
	writeJSON(w, http.StatusOK, rows)
}

// putInstances adds a version of the list of instances in which the given entries replace those with the same names.
// Entries in the state StateGone are removed.
func (l *Listing) putInstances(rows []Instance) {
	l.listMu.Lock()
	defer l.listMu.Unlock()
	list := slices.Clone(l.versions[len(l.versions)-1].rows)
	for _, row := range rows {
		list = slices.DeleteFunc(list, func(i Instance) bool { return i.Name == row.Name })
		if row.State != StateGone {
			list = append(list, row)
		}
	}
	l.versions = append(l.versions, listVersion{validFrom: l.Clock.Now(), rows: list})
}
