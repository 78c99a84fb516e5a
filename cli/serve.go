package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"

	"github.com/vanillaquay/vanillaquay/entry"
	"github.com/vanillaquay/vanillaquay/settings"
)

// serveCommand runs an entry host until it receives SIGINT or SIGTERM.
type serveCommand struct {
	settingsFiles
	Host string `required:"" help:"Name of this host in the settings."`
}

// Help implements kong.HelpProvider.
func (c serveCommand) Help() string {
	return `SIGTERM stops the host gracefully: its requests in flight finish, others take over
what it owns, and the exit code is 0.

Example:
  vanillaquay serve --settings base.json --overlay catania.json --host e1`
}

// Run implements the subcommand.
func (c serveCommand) Run() error {
	s, err := settings.Load(c.Settings, c.Overlay...)
	if err != nil {
		return codedError{exitUsage, err}
	}
	limitMemory(entry.MemoryLimit(s.Limits))
	host, err := entry.New(c.Host, s, newLogger(s.Log))
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return host.Run(ctx)
}

// newLogger returns a logger that writes to the standard error.
func newLogger(l settings.Log) *logrus.Logger {
	log := logrus.New()
	if l.Form == "JSON" {
		log.SetFormatter(&logrus.JSONFormatter{})
	}
	level, err := logrus.ParseLevel(l.Level)
	if err != nil {
		level = logrus.InfoLevel
	}
	log.SetLevel(level)
	return log
}
