// Package form decides how a replicated group forms itself from a few seeds and which members it gives up.
package form
