// Package intake decides how much of a process's memory and descriptors its clients may take, so that clients that do not
// behave leave enough of both for the others.
package intake
