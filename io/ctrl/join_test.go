package ctrl

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"wasabiweir/core/object"
	"wasabiweir/core/raft"
	"wasabiweir/io/metric"
	"wasabiweir/io/repl"
	"wasabiweir/io/wall"
	"wasabiweir/io/wire"
)

const (
	testKey   = "test-key-of-the-peers"
	testToken = "operator-secret"
)

// emptyMember is a fake control process that answers that it has no state and ignores all but identity requests.
type emptyMember struct{}

// HandleFrame answers an identity request.
func (emptyMember) HandleFrame(l *wire.Link, f wire.Frame) {
	if f.Kind == wire.KindIdentity {
		_ = l.Reply(f, memberIdentity{ID: raft.ID{Name: "control-2", Disk: "none"}}, nil)
	}
}

// handlerFor returns the receiver of the frames of a newly accepted link.
func (m emptyMember) handlerFor(*wire.Link) wire.Handler { return m }

// testControl is a control process that runs within the test; done receives the result of Run.
type testControl struct {
	*Control
	done chan error
	// stop starts the planned stop.
	stop context.CancelFunc
}

// run runs the control process until ctx ends and sends the result on done.
func (r *testControl) run(ctx context.Context) { r.done <- r.Run(ctx) }

// newTestControl returns the control process control-1 with its settings and no other member.
func newTestControl(t *testing.T, tick time.Duration, log *zap.Logger) *testControl {
	sum := sha256.Sum256([]byte(testToken))
	return &testControl{done: make(chan error, 1), Control: &Control{
		Name: "control-1", Domain: "petrolina", Listen: "127.0.0.1:0", PeerListen: "127.0.0.1:0", PeerKey: testKey,
		Members: map[string]string{"control-1": "127.0.0.1:1"}, DataDir: t.TempDir(), LedgerGroups: 1, Tick: tick,
		Clock: wall.Clock{}, Log: log, Metrics: metric.New("control"),
		OperatorHashes: map[string]string{"ops": hex.EncodeToString(sum[:])},
	}}
}

// start runs the control process until the end of the test, at which stop ends ctx; Run must return no error.
func (r *testControl) start(ctx context.Context, t *testing.T, stop context.CancelFunc) {
	r.stop = stop
	go r.run(ctx)
	t.Cleanup(func() {
		stop()
		if err := <-r.done; err != nil {
			t.Errorf("control: %v", err)
		}
	})
}

// startWithEmptyMember starts a control process beside an emptyMember and waits until it leads the Raft group config.
func startWithEmptyMember(t *testing.T) *testControl {
	t.Helper()
	server := httptest.NewServer(&wire.Server{Key: testKey, HandlerFor: emptyMember{}.handlerFor, Log: zap.NewNop()})
	t.Cleanup(server.Close)
	r := newTestControl(t, 10*time.Millisecond, zap.NewNop())
	r.Members["control-2"] = strings.TrimPrefix(server.URL, "http://")
	ctx, cancel := context.WithCancel(context.Background())
	r.start(ctx, t, cancel)
	for deadline := time.Now().Add(10 * time.Second); ; {
		if r.started.Load() && r.groups[ConfigGroup].replica.Status().Role == raft.Leader {
			return r
		}
		if time.Now().After(deadline) {
			t.Fatal("no leader")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against a change that is acknowledged while the Raft group has only the first of its configured members: the
// loss of that member's disk would lose the change.
func TestNoChangeBeforeMostMembersVote(t *testing.T) {
	r := startWithEmptyMember(t)
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	out, err := r.proposeChange(ctx, &object.Change{RequestID: "early"}, "ops")
	if !errors.Is(err, repl.ErrNotRun) {
		t.Fatalf("change in a group with one of two members: %+v %v, want ErrNotRun", out, err)
	}
}

// Guards against learners that are never removed: a member loses its disk again before it has become a voter, and joins
// with a new disk id. Guards also against the promotion of a learner that never answered, after which no entry could be
// committed.
func TestLearnersThatNeverAnswer(t *testing.T) {
	r := startWithEmptyMember(t)
	g := r.groups[ConfigGroup]
	first, second := raft.ID{Name: "control-2", Disk: "first"}, raft.ID{Name: "control-2", Disk: "second"}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	// A real member repeats its join request until it is a voter.
	for _, id := range []raft.ID{first, first, second, second, second} {
		_ = g.admitVoter(ctx, joinRequest{ID: id})
		time.Sleep(5 * g.replica.Interval)
	}
	want := raft.Members{Voters: []raft.ID{r.raftID()}, Learners: []raft.ID{second}}
	if got := g.replica.Status().Members; !slices.Equal(got.Voters, want.Voters) || !slices.Equal(got.Learners, want.Learners) {
		t.Fatalf("members %+v, want %+v", got, want)
	}
}

// Guards against a Raft group that is bootstrapped a second time, because a member answered that it has no state before
// it had read its stored state.
func TestNoIdentityBeforeStateIsRead(t *testing.T) {
	c := &Control{Name: "control-1", Log: zap.NewNop()}
	if id, err := c.newGroup(ConfigGroup, &configMachine{control: c}).localIdentity(); !errors.Is(err, errStateNotRead) {
		t.Fatalf("identity before the stored state is read: %+v %v, want errNotOpen", id, err)
	}
}
