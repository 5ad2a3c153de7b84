// Package cmds implements the subcommands of the wasabiweir binary: the settings, start-up and output of each.
package cmds
