// Package cli is the command line of vanillaquay, with one file per subcommand.
package cli
