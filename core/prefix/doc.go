// Package prefix identifies the blocks of a prompt in engines' prefix caches. Each engine identifies blocks by hashes
// of its own, so the package computes chained hashes over token ids and translates the engines' cache events to them.
// For prompts sent as text, it remembers the token ids that an engine returned for texts with the same prefix.
package prefix
