// Package store stores the state of replicated logs on disk.
//
// A data folder has one disk id, which is assigned when the folder is created, and one Store for each group. A group is
// one replicated log. A Store writes each raft.Ready as one record to a segment file and syncs it once. A record
// carries its length and a CRC-32C. Snapshots are written to a temporary file, synced and renamed.
//
// Layout of a data folder:
//
//	identity.json               the disk id and the names of the groups that were created
//	lock                        locked by the process that uses the folder
//	<disk-id>/<group>/<n>.log   segments, numbered from 1
//	<disk-id>/<group>/<i>.snap  the snapshot up to entry i
//
// When a Store is opened, an incomplete last record with no valid record after it is truncated: it was never synced, so
// nothing that depends on it was acknowledged. Any other damage is returned as a CorruptError, and the files are left
// unchanged. The owner then calls Folder.RenewDiskID, which assigns a new disk id, and the member rejoins as a learner.
package store
