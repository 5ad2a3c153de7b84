// Package logs builds the logger of a process, which writes each event as one line of key=value pairs (logfmt).
package logs
