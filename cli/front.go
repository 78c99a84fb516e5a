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
)

// heapMemoryRatio is the ratio of the Go runtime's soft memory limit to the memory
// limit of the process. Near the soft limit, garbage is collected more often.
const heapMemoryRatio = 0.6

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
	limitMemory(settings)
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

// limitMemory sets the soft memory limit of the Go runtime.
func limitMemory(settings platform.Settings) {
	if settings.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(heapMemoryRatio * float64(settings.MemoryLimit)))
	}
}
