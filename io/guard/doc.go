// Package guard shares what a process knows of the prompts that crash engines with the other processes, and logs and
// counts what package poison decides.
package guard
