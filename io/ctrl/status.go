package ctrl

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"wasabiweir/core/raft"
	"wasabiweir/io/repl"
	"wasabiweir/io/serve"
	"wasabiweir/io/wire"
)

const (
	// statusTimeout bounds a status request to the leader of a Raft group, which in turn asks each member for its Raft
	// id.
	statusTimeout = 3 * time.Second
	// identityTimeout bounds one request to a member of a Raft group for its Raft id, which the status of the group
	// needs.
	identityTimeout = 500 * time.Millisecond
	// memberSyncTimeout is the time that a member of a Raft group has to sync the entries that were committed when the
	// status was requested, and memberSyncPollInterval the time between two checks whether it has.
	memberSyncTimeout      = 300 * time.Millisecond
	memberSyncPollInterval = 10 * time.Millisecond
)

// Status is the response to a status request: the state of the system as one control process sees it.
type Status struct {
	Control  string         `json:"control"`
	Revision uint64         `json:"revision"`
	Digest   string         `json:"digest"`
	Quorum   bool           `json:"quorum"`
	Groups   []GroupStatus  `json:"groups"`
	Routers  []RouterStatus `json:"routers"`
	Engines  []EngineStatus `json:"engines"`
	// Problems describes each fault or degradation in a sentence for the operator.
	Problems []string `json:"problems"`
}

// GroupStatus is the state of one Raft group.
type GroupStatus struct {
	Name     string   `json:"name"`
	Role     string   `json:"role"`
	Leader   string   `json:"leader"`
	Term     uint64   `json:"term"`
	Commit   uint64   `json:"commit"`
	Applied  uint64   `json:"applied"`
	Voters   []string `json:"voters"`
	Learners []string `json:"learners,omitempty"`
	// Complete is true if each configured member of the Raft group is a voter with its current disk id and has synced
	// all entries that were committed when the status was requested, so that the loss of one member loses nothing.
	// Only the leader can tell.
	Complete bool `json:"complete"`
	// Missing says, for each member of the Raft group that prevents Complete, what it lacks.
	Missing []string `json:"missing,omitempty"`
	// SpaceShort is true if the disk of the process that shows the status has too little room for a snapshot of the Raft
	// group, so that the process takes no changes.
	SpaceShort bool `json:"space-short,omitempty"`
	// Engines and Blocked are the engines, and the held-back loads and unloads of models and adapters, that the leader
	// of the Raft group config knows; Status shows them for the whole system.
	Engines []EngineStatus `cbor:"engines,omitempty" json:"-"`
	Blocked []string       `cbor:"blocked,omitempty" json:"-"`
}

// RouterStatus is the state of one router according to its latest report.
type RouterStatus struct {
	Name     string `json:"name"`
	Address  string `json:"address"`
	Domain   string `json:"domain"`
	Revision uint64 `json:"revision"`
	InForce  bool   `json:"in-force"`
	Fresh    bool   `json:"fresh"`
	Draining bool   `json:"draining"`
	InFlight int    `json:"in-flight"`
	// ShareFloor is the router's share of each account limit that does not expire with a lease, in millionths. It is 0
	// until the router has received shares.
	ShareFloor int64 `json:"share-floor"`
	// AgeMS is the age of the router's latest report in milliseconds.
	AgeMS int64 `json:"age-ms"`
}

// serveStatus answers with the status of the system, also if there is no control quorum.
func (c *Control) serveStatus(w http.ResponseWriter, r *http.Request, _ string) {
	quorum := c.readBarrier(r.Context()) == nil
	serve.WriteJSON(w, http.StatusOK, c.systemStatus(r.Context(), quorum))
}

// systemStatus collects the status of the system; quorum says whether a control quorum has just confirmed that this
// process's configuration is current.
func (c *Control) systemStatus(ctx context.Context, quorum bool) Status {
	_, revision, digest := c.config.currentGraph()
	s := Status{Control: c.Name, Revision: revision, Digest: digest.String(), Quorum: quorum, Problems: []string{}}
	if !quorum {
		s.Problems = append(s.Problems, "no control quorum answers: no change and no non-idempotent call is possible")
	}
	names := make([]string, 0, len(c.groups))
	for name := range c.groups {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		g := c.groups[name].statusFromLeader(ctx)
		g.SpaceShort = c.groups[name].replica.Status().SpaceShort
		s.Groups = append(s.Groups, g)
		s.Problems = append(s.Problems, c.groupProblems(g)...)
		if name == ConfigGroup {
			s.Engines = g.Engines
			s.Problems = append(s.Problems, engineProblems(&g)...)
		}
	}
	for _, r := range c.routers.liveReports() {
		s.applyRouterHealth(r)
		s.Routers = append(s.Routers, newRouterStatus(r, revision))
		s.Problems = append(s.Problems, routerProblems(r, revision)...)
	}
	if len(s.Routers) == 0 {
		s.Problems = append(s.Problems, "no router reports")
	}
	return s
}

// applyRouterHealth lowers the health of each engine to the one that the router observes, if that is lower. The first
// router that observes an engine below 1 adds a problem.
func (s *Status) applyRouterHealth(r wire.Report) {
	for i := range s.Engines {
		e := &s.Engines[i]
		h, ok := r.Endpoints[e.Name]
		if !ok || h >= e.Health {
			continue
		}
		if e.Health == 1 {
			s.Problems = append(s.Problems, fmt.Sprintf("engine %s is slower than its peers", e.Name))
		}
		e.Health = h
	}
}

// groupProblems describes for operators what is wrong with a Raft group.
func (c *Control) groupProblems(g GroupStatus) []string {
	var out []string
	if g.Leader == "" {
		out = append(out, fmt.Sprintf("group %s has no leader", g.Name))
	}
	if g.SpaceShort {
		out = append(out, fmt.Sprintf("group %s: the disk of this process has too little room, so that it takes no changes", g.Name))
	}
	for _, text := range g.Missing {
		out = append(out, fmt.Sprintf("group %s: %s", g.Name, text))
	}
	return out
}

// localStatus returns the status of the Raft group as far as this member knows it, without the fields that only the
// leader knows.
func (g *raftGroup) localStatus() GroupStatus {
	s := g.replica.Status()
	return GroupStatus{
		Name:     g.name,
		Role:     s.Role.String(),
		Leader:   s.Leader.Name,
		Term:     s.Term,
		Commit:   s.Commit,
		Applied:  s.Applied,
		Voters:   memberNames(s.Members.Voters),
		Learners: memberNames(s.Members.Learners),
	}
}

// statusFromLeader returns the status of the Raft group from its leader, or what this member knows of it if the leader
// does not answer.
func (g *raftGroup) statusFromLeader(ctx context.Context) GroupStatus {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	raftStatus := g.replica.Status()
	if raftStatus.Role == raft.Leader {
		s, err := g.leaderStatus(ctx)
		if err == nil {
			return s
		}
	}
	if p := g.control.peers[raftStatus.Leader.Name]; p != nil {
		var s GroupStatus
		if err := p.Call(ctx, wire.KindStatus, g.name, struct{}{}, &s); err == nil {
			return s
		}
	}
	s := g.localStatus()
	s.Missing = []string{"the leader does not answer, so that the state of the members is not known"}
	return s
}

// leaderStatus returns the status of the Raft group with what each member lacks. It returns a *raft.NotLeaderError if
// this member is not the leader.
func (g *raftGroup) leaderStatus(ctx context.Context) (GroupStatus, error) {
	raftStatus := g.replica.Status()
	if raftStatus.Role != raft.Leader {
		return GroupStatus{}, &raft.NotLeaderError{Leader: raftStatus.Leader}
	}
	s := g.localStatus()
	for name := range g.control.Members {
		if text := g.memberProblem(ctx, name, raftStatus); text != "" {
			s.Missing = append(s.Missing, text)
		}
	}
	slices.Sort(s.Missing)
	if !raftStatus.MembersCommitted {
		s.Missing = append(s.Missing, "a change of the members is not committed")
	}
	s.Complete = len(s.Missing) == 0
	if g.name == ConfigGroup {
		s.Engines, s.Blocked = g.control.orders.engineStatus()
	}
	return s, nil
}

// memberProblem describes why the loss of another member could lose entries: the named member does not answer, is not a
// voter with its current disk id, or has not synced all committed entries. It returns an empty string if none applies.
func (g *raftGroup) memberProblem(ctx context.Context, name string, s repl.Status) string {
	current := s.ID
	if name != s.ID.Name {
		ctx, cancel := context.WithTimeout(ctx, identityTimeout)
		defer cancel()
		id, err := g.requestIdentity(ctx, g.control.peers[name])
		if err != nil {
			return fmt.Sprintf("member %s does not answer", name)
		}
		current = id.ID
	}
	if !s.Members.IsVoter(current) {
		return fmt.Sprintf("member %s does not vote with its present disk", name)
	}
	if current != s.ID && !g.awaitSynced(ctx, current, s.Commit) {
		return fmt.Sprintf("member %s has not synced what is committed", name)
	}
	return ""
}

// awaitSynced reports whether the member of the Raft group syncs the entry with the index within memberSyncTimeout. It
// waits, because under load each member is always a few entries behind.
func (g *raftGroup) awaitSynced(ctx context.Context, id raft.ID, index uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, memberSyncTimeout)
	defer cancel()
	ticker := time.NewTicker(memberSyncPollInterval)
	defer ticker.Stop()
	for {
		if g.replica.Status().MatchIndex[id] >= index {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
}

// memberNames returns the sorted instance names of the members of a Raft group.
func memberNames(ids []raft.ID) []string {
	names := make([]string, 0, len(ids))
	for _, id := range ids {
		names = append(names, id.Name)
	}
	slices.Sort(names)
	return names
}

// newRouterStatus converts a router's report to its status; revision is the current one of the configuration, with
// which the router's is compared.
func newRouterStatus(r wire.Report, revision uint64) RouterStatus {
	return RouterStatus{
		Name: r.Name, Address: r.Address, Domain: r.Domain, Revision: r.Revision, InForce: r.Revision >= revision,
		Fresh: r.Fresh, Draining: r.Draining, InFlight: r.InFlight, ShareFloor: r.ShareFloor, AgeMS: r.AgeMS,
	}
}

// routerProblems describes for operators how a router's configuration is outdated, if it is.
func routerProblems(r wire.Report, revision uint64) []string {
	var out []string
	if r.Revision < revision {
		out = append(out, fmt.Sprintf("router %s has revision %d in force, not %d", r.Name, r.Revision, revision))
	}
	if !r.Fresh {
		out = append(out, fmt.Sprintf("router %s has no fresh confirmation of its configuration", r.Name))
	}
	return out
}
