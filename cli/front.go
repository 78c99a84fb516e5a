package cli

import (
	"context"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/sirupsen/logrus"

	"github.com/vanillaquay/vanillaquay/front"
	"github.com/vanillaquay/vanillaquay/lines"
	"github.com/vanillaquay/vanillaquay/platform"
	"github.com/vanillaquay/vanillaquay/server"
)

// timestampFormat includes milliseconds, because decisions follow one another within
// milliseconds.
const timestampFormat = "2006-01-02T15:04:05.000Z07:00"

// frontCommand runs an entry host on the users' platform.
type frontCommand struct {
	Check bool `help:"Check the settings and exit."`
}

// Help implements kong.HelpProvider.
func (c frontCommand) Help() string {
	return `The settings file is the one that the platform writes; the environment variable
` + platform.SettingsVariable + ` holds its path. SIGTERM stops the host gracefully, SIGHUP reads the
settings again, as does a change of the file within some seconds.`
}

// Run implements the subcommand.
func (c frontCommand) Run(hangups hangupSignals) error {
	settings, err := platform.LoadSettings()
	if err != nil {
		return codedError{exitUsage, err}
	}
	if c.Check {
		return nil
	}
	runtime.GOMAXPROCS(1)
	limitMemory(settings.MemoryLimit)
	output := lines.New(os.Stdout)
	defer output.Close()
	logger := logrus.New()
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: timestampFormat})
	logger.SetOutput(output)
	log := logger.WithField("host", settings.Host)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	h := front.New(settings, log)
	go watchSettings(ctx, h, hangups, log)
	return h.Run(ctx)
}

// limitMemory sets the soft memory limit of the Go runtime for a process with some memory, in
// bytes; 0 is no limit.
func limitMemory(memory int64) {
	if memory > 0 {
		debug.SetMemoryLimit(int64(server.HeapMemoryRatio * float64(memory)))
	}
}
