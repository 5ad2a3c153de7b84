package router

import (
	"context"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"wasabiweir/core/config"
	"wasabiweir/core/member"
	"wasabiweir/io/wire"
)

const (
	// reportInterval is the time between two status reports of the router to the control process.
	reportInterval = time.Second
	// feedCheckInterval is the interval at which the connection to the control process is checked.
	feedCheckInterval = 100 * time.Millisecond
	// redialDelay is the pause before the next connection attempt after a connection to a control process failed.
	redialDelay = 100 * time.Millisecond
	// configFile is the name of the stored configuration in the data directory.
	configFile = "configuration.cbor"
	// fileMode lets only the router's own user access the stored configuration.
	fileMode = 0o600
	// maxPause is the longest time between two checks of the connection to the control process; after a longer one
	// this process counts as paused, and received updates may have waited in buffers.
	maxPause = time.Second
	// dirMode lets only the router's own user access the data directory.
	dirMode = 0o700
)

// errPaused is the reason for reconnecting to a control process after this process was paused.
var errPaused = eris.New("this process was paused")

// errProofStalled is the reason for moving to another control process: this one sent no new proof from a control
// quorum that the configuration is fresh.
var errProofStalled = eris.New("the control process sent no new proof of freshness")

// feed receives configuration updates, the list of routers and this router's shares of the account limits from one
// control process at a time, and sends it the router's status reports.
type feed struct {
	router *Router
	// link is the current connection to a control process, or nil.
	link atomic.Pointer[wire.Link]
	// reportRequested triggers a status report before the next interval.
	reportRequested chan struct{}
	// fresh tells whether a control quorum has recently confirmed that the router's configuration is the current one.
	fresh atomic.Bool

	mu       sync.Mutex // guards the fields below
	follower config.Follower
	// dialCount counts the connections to control processes; the count is part of a connection's name.
	dialCount int
	// lastRun is when this process was last known to run, which detects pauses of the process.
	lastRun time.Time
	// shares holds the router's parts of the account limits; sharesReceived is true once any have arrived.
	shares         member.ShareHolder
	sharesReceived bool
	// lastReportMS is the time of the router's latest status report in Unix milliseconds.
	lastReportMS int64
}

// initStoredConfig creates the data directory, if the router has one, and loads the stored configuration.
func (s *feed) initStoredConfig(r *Router) error {
	s.router = r
	s.reportRequested = make(chan struct{}, 1)
	s.shares.Incarnation = r.incarnation
	s.follower.SyncBeforeReport = r.DataDir != ""
	if !s.follower.SyncBeforeReport {
		return nil
	}
	if err := os.MkdirAll(r.DataDir, dirMode); err != nil {
		return fmt.Errorf("create data directory: %w", err)
	}
	return s.loadStored()
}

// loadStored applies the configuration that was stored before a restart; a damaged file counts as no configuration.
func (s *feed) loadStored() error {
	data, err := os.ReadFile(filepath.Join(s.router.DataDir, configFile))
	if os.IsNotExist(err) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("read stored configuration: %w", err)
	}
	var full config.FullConfig
	if err := wire.Unmarshal(data, &full); err != nil {
		s.router.Log.Warn("stored-configuration-refused", zap.Error(err))
		return nil
	}
	if err := s.follower.Load(&full); err != nil {
		s.router.Log.Warn("stored-configuration-refused", zap.Error(err))
		return nil
	}
	s.router.applyConfig(&s.follower)
	return nil
}

// loop stays connected to one control process and moves to the next one when the connection fails or no proof arrives
// from a control quorum that the configuration is fresh.
func (s *feed) loop(ctx context.Context) error {
	for i := s.firstControl(); ctx.Err() == nil; i++ {
		address := s.router.Controls[i%len(s.router.Controls)]
		err := s.followControl(ctx, address)
		if ctx.Err() != nil {
			break
		}
		s.router.Log.Info("feed-disconnected", zap.String("control", address), zap.Error(err))
		select {
		case <-ctx.Done():
		case <-time.After(redialDelay):
		}
	}
	return ctx.Err()
}

// firstControl returns the index of the control process to connect to first. It depends on the router's name, which
// spreads the routers over the control processes.
func (s *feed) firstControl() int {
	return int(crc32.ChecksumIEEE([]byte(s.router.Name)) % uint32(len(s.router.Controls)))
}

// followControl connects to a control process and processes its messages until the connection fails or is given up.
func (s *feed) followControl(ctx context.Context, address string) error {
	l, err := wire.Dial(ctx, s.router.Name, address, s.router.PeerKey, s)
	if err != nil {
		s.updateFreshness()
		return err
	}
	s.mu.Lock()
	s.dialCount++
	connection := fmt.Sprintf("%s#%d", address, s.dialCount)
	s.follower.Attach(connection, s.router.Clock.Now())
	s.lastRun = s.router.Clock.Now()
	l.Name = connection
	revision, digest := s.follower.Position()
	s.mu.Unlock()
	s.link.Store(l)
	defer s.link.Store(nil)
	if err := l.Post(wire.KindConfigUpdateRequest, "", wire.ConfigUpdateRequest{Revision: revision, Digest: digest}); err != nil {
		l.Close()
		return err
	}
	s.sendReport()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go s.loopWatchControl(ctx, l, cancel)
	err = l.Serve(ctx)
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// loopWatchControl sends status reports to the control process. It closes the connection when this process was paused,
// or when no new proof arrives that the configuration is fresh.
func (s *feed) loopWatchControl(ctx context.Context, l *wire.Link, cancel context.CancelCauseFunc) {
	ticker := time.NewTicker(feedCheckInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.reportRequested:
			s.sendReport()
			last = time.Now()
		case <-ticker.C:
			if time.Since(last) >= reportInterval {
				s.sendReport()
				s.applyAccountShares()
				last = time.Now()
			}
			if !s.ranWithoutPause() {
				cancel(errPaused)
				l.Close()
				return
			}
			if s.updateFreshness() {
				cancel(errProofStalled)
				l.Close()
				return
			}
		}
	}
}

// updateFreshness records whether a control quorum has recently confirmed that the configuration is current, and
// returns whether the control process has stopped sending such proofs.
func (s *feed) updateFreshness() (stalled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.router.Clock.Now()
	fresh := s.follower.Fresh(now)
	if s.fresh.Swap(fresh) != fresh {
		s.router.Log.Info("freshness-changed", zap.Bool("fresh", fresh))
		s.requestReport()
	}
	return s.follower.Stalled(now)
}

// requestReport makes loopWatchControl send a status report without waiting for the interval.
func (s *feed) requestReport() {
	select {
	case s.reportRequested <- struct{}{}:
	default:
	}
}

// sendReport sends the router's status to the control process, if there is a connection.
func (s *feed) sendReport() {
	l := s.link.Load()
	if l == nil {
		return
	}
	r := s.router.statusReport()
	s.mu.Lock()
	r.Revision, r.Digest = s.follower.ReportedPosition()
	// The control process ignores a report whose time is not later than that of the one before.
	s.lastReportMS = max(s.lastReportMS+1, s.router.Clock.Now().UnixMilli())
	r.SentMS = s.lastReportMS
	var shares member.RouterReport
	s.shares.FillReport(&shares)
	r.ShareID, r.ShareFloor = shares.ShareID, shares.ShareFloor
	s.mu.Unlock()
	// If sending fails, the next report follows after reportInterval.
	_ = l.Post(wire.KindReport, "", r)
}

// HandleFrame processes one message from the control process.
func (s *feed) HandleFrame(l *wire.Link, f wire.Frame) {
	switch f.Kind {
	case wire.KindUpdate:
		u, err := wire.Decode[config.Update](f)
		if err != nil {
			s.router.Log.Warn("update-refused", zap.Error(err))
			return
		}
		s.applyUpdate(l, &u)
	case wire.KindRouters:
		if list, err := wire.Decode[wire.Routers](f); err == nil {
			s.router.applyRouterList(list)
		}
	case wire.KindShares:
		if shares, err := wire.Decode[member.RouterShares](f); err == nil {
			s.recordAccountShares(&shares)
		}
	default:
		s.router.Log.Warn("frame-rejected", zap.String("peer", l.Name), zap.String("kind", string(f.Kind)))
	}
}

// updatePaused means that a configuration update was dropped because this process was paused and the update may have
// waited in a buffer.
const updatePaused config.UpdateResult = "paused"

// updateFollower passes a configuration update to the follower, which holds this router's configuration. It returns
// the result and the configuration that must be stored on disk, if any.
func (s *feed) updateFollower(connection string, u *config.Update) (config.UpdateResult, *config.FullConfig) {
	if !s.ranWithoutPause() {
		return updatePaused, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	result := s.follower.ApplyUpdate(connection, u, s.router.Clock.Now())
	return result, s.follower.PendingStore()
}

// ranWithoutPause reports whether the process has run without a pause longer than maxPause since the last call on this
// connection to the control process. After a pause, updates that waited in buffers would count as fresh when they are
// read, so the connection is closed instead.
func (s *feed) ranWithoutPause() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.router.Clock.Now()
	if now.Sub(s.lastRun) > maxPause {
		return false
	}
	s.lastRun = now
	return true
}

// applyUpdate processes a configuration update: it stores the new configuration and puts it into effect. If the
// update doesn't fit the current revision, it requests the whole configuration.
func (s *feed) applyUpdate(l *wire.Link, u *config.Update) {
	result, full := s.updateFollower(l.Name, u)
	if result == updatePaused {
		l.Close()
		return
	}
	if result == config.UpdateMismatch {
		s.router.Log.Warn("update-mismatched", zap.Uint64("revision", u.Revision))
		_ = l.Post(wire.KindConfigUpdateRequest, "", wire.ConfigUpdateRequest{})
		return
	}
	if full != nil {
		s.storeConfig(full)
	}
	s.mu.Lock()
	changed := s.router.applyConfig(&s.follower)
	s.mu.Unlock()
	if changed {
		s.requestReport()
	}
	s.updateFreshness()
}

// recordAccountShares records this router's shares of the account limits, unless they are outdated, and applies them.
func (s *feed) recordAccountShares(shares *member.RouterShares) {
	s.mu.Lock()
	ok := s.shares.Apply(shares, s.router.Clock.Now())
	s.sharesReceived = s.sharesReceived || ok
	s.mu.Unlock()
	if ok {
		s.applyAccountShares()
	}
}

// applyAccountShares passes the router's current part of each account limit to the dispatcher. It is called regularly,
// so that shares whose lease has expired are no longer used.
func (s *feed) applyAccountShares() {
	v := s.router.view.Load()
	s.mu.Lock()
	defer s.mu.Unlock()
	if v == nil || !s.sharesReceived {
		return
	}
	now := s.router.Clock.Now()
	for name := range v.Graph.Accounts {
		s.router.dispatcher.setAccountShare(name, float64(s.shares.ShareOf(name, now))/member.FullLimit)
	}
}

// storeConfig writes the configuration to disk and syncs it, so that a restart does not fall back behind the reported
// revision.
func (s *feed) storeConfig(full *config.FullConfig) {
	if err := writeFileSynced(filepath.Join(s.router.DataDir, configFile), full); err != nil {
		s.router.Log.Error("configuration-not-stored", zap.Uint64("revision", full.Revision), zap.Error(err))
		return
	}
	s.mu.Lock()
	s.follower.MarkStored(full)
	s.mu.Unlock()
}

// writeFileSynced replaces the file at path atomically by the CBOR encoding of v, and syncs the file and its
// directory.
func writeFileSynced(path string, v any) error {
	data, err := wire.Marshal(v)
	if err != nil {
		return err
	}
	temp := path + ".new"
	f, err := os.OpenFile(temp, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return fmt.Errorf("create file: %w", err)
	}
	if _, err := f.Write(data); err != nil {
		_ = f.Close()
		return fmt.Errorf("write file: %w", err)
	}
	if err := f.Sync(); err != nil {
		_ = f.Close()
		return fmt.Errorf("sync file: %w", err)
	}
	if err := f.Close(); err != nil {
		return fmt.Errorf("close file: %w", err)
	}
	if err := os.Rename(temp, path); err != nil {
		return fmt.Errorf("rename file: %w", err)
	}
	return syncDir(filepath.Dir(path))
}

// syncDir syncs a directory, so that a rename in it survives a power failure.
func syncDir(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("open directory: %w", err)
	}
	defer func() { _ = d.Close() }()
	if err := d.Sync(); err != nil {
		return fmt.Errorf("sync directory: %w", err)
	}
	return nil
}

// callControl sends a request to the connected control process and decodes the reply into result. It fails with
// wire.ErrClosed if there is no connection.
func (s *feed) callControl(ctx context.Context, kind wire.Kind, group string, body, result any) error {
	l := s.link.Load()
	if l == nil {
		return wire.ErrClosed
	}
	return l.Call(ctx, kind, group, body, result)
}
