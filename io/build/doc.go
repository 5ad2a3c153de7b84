// Package build identifies the build of the running program, so that logs and metrics tell processes of different versions apart.
package build
