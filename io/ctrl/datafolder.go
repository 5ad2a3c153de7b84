package ctrl

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"go.uber.org/zap"

	"wasabiweir/io/store"
)

// openDataFolder opens the data folder and verifies the stored state of each Raft group. If any of it is damaged, the
// folder gets a new disk id, which is part of this process's Raft id, and this process joins all groups as a learner.
// The groups share the disk id, so that none of them keeps its state.
func (c *Control) openDataFolder() error {
	c.folder = &store.Folder{Path: c.DataDir}
	err := c.folder.Open()
	if isCorrupt(err) {
		if err = c.renewDiskID(err); err == nil {
			err = c.folder.Open()
		}
	}
	if err != nil {
		return fmt.Errorf("open %s: %w", c.DataDir, err)
	}
	for _, name := range c.groupNames() {
		if err = c.verifyStoredState(name); err != nil {
			break
		}
	}
	if isCorrupt(err) {
		err = c.renewDiskID(err)
	}
	if err == nil {
		c.hasEarlierState, err = c.detectEarlierState()
	}
	if err != nil {
		return errors.Join(err, c.folder.Close())
	}
	return nil
}

// isCorrupt reports whether the error says that state in the data folder is damaged.
func isCorrupt(err error) bool {
	var corrupt *store.CorruptError
	return errors.As(err, &corrupt)
}

// renewDiskID gives the data folder a new disk id, which is part of this process's Raft id, because of the damage that
// cause describes. The damaged state stays on disk under the earlier id.
func (c *Control) renewDiskID(cause error) error {
	c.Log.Error("stored-state-corrupt", zap.String("control", c.Name), zap.Error(cause),
		zap.String("action", "join all groups as a learner with a new disk id"))
	if err := c.folder.RenewDiskID(); err != nil {
		return fmt.Errorf("renew the disk id: %w", err)
	}
	return nil
}

// verifyStoredState reads the stored state of the named Raft group; it returns a *store.CorruptError if the state is
// damaged.
func (c *Control) verifyStoredState(name string) error {
	s := &store.Store{Folder: c.folder, Group: name}
	_, err := s.Open()
	return errors.Join(err, s.Close())
}

// detectEarlierState reports whether the data folder has a subfolder of an earlier disk id; each disk id has its own.
func (c *Control) detectEarlierState() (bool, error) {
	entries, err := os.ReadDir(c.DataDir)
	if err != nil {
		return false, fmt.Errorf("list the data folder: %w", err)
	}
	for _, e := range entries {
		if e.IsDir() && e.Name() != c.folder.DiskID() {
			return true, nil
		}
	}
	return false, nil
}

// discardInterval is the time between two checks whether damaged Raft state under an earlier disk id can be deleted.
const discardInterval = 5 * time.Second

// loopDiscardEarlierState deletes the damaged Raft state under an earlier disk id once this process votes in each Raft
// group under its new disk id. Until then that state prevents this process from bootstrapping a group.
func (c *Control) loopDiscardEarlierState(ctx context.Context) error {
	ticker := time.NewTicker(discardInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if !c.hasEarlierState || !c.isVoterInAllGroups() {
			continue
		}
		if err := c.folder.DeleteEarlierState(); err != nil {
			c.Log.Warn("damaged-state-not-deleted", zap.Error(err))
		}
	}
}

// isVoterInAllGroups reports whether this process is a voter of each Raft group under its current disk id.
func (c *Control) isVoterInAllGroups() bool {
	for _, g := range c.groups {
		if !g.replica.Status().Members.IsVoter(c.raftID()) {
			return false
		}
	}
	return true
}

// groupNames returns the names of all Raft groups, the one of the configuration first.
func (c *Control) groupNames() []string {
	names := []string{ConfigGroup}
	for i := range max(1, c.LedgerGroups) {
		names = append(names, LedgerGroup(i))
	}
	return names
}
