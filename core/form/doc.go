// Package form decides how a Raft group is first formed from a few seed processes, how further processes join it as
// voters, and which unresponsive members are removed.
package form
