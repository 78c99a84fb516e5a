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

// memoryShare is the part of a host's memory that the Go heap may grow to before
// it is collected more often.
const memoryShare = 0.6

// timestampFormat has milliseconds, in which decisions follow one another.
const timestampFormat = "2006-01-02T15:04:05.000Z07:00"

// frontCommand runs an entry host on the users' platform.
type frontCommand struct {
	Check bool `help:"Check the settings and exit."`
}

// Help implements kong.HelpProvider.
func (c frontCommand) Help() string {
	return `The settings file is the one that the platform writes; the environment variable
` + platform.SettingsVariable + ` holds its path. SIGTERM stops the host gracefully, SIGHUP reads the
settings again.`
}

// Run implements the subcommand.
func (c frontCommand) Run() error {
	settings, err := platform.LoadSettings()
	if err != nil {
		return codedError{exitUsage, err}
	}
	if c.Check {
		return nil
	}
	runtime.GOMAXPROCS(1)
	if settings.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryLimit)))
	}
	output := lines.New(os.Stdout)
	defer output.Close()
	logger := logrus.New()
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: timestampFormat})
	logger.SetOutput(output)
	log := logger.WithField("host", settings.Host)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	go reload(ctx, log)
	return front.New(settings, log).Run(ctx)
}

// reload reads the settings again on SIGHUP. What can change is where things
// listen, which a process can't follow, so that it only tells of a fault.
func reload(ctx context.Context, log *logrus.Entry) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			if _, err := platform.LoadSettings(); err != nil {
				log.WithField("why", err.Error()).Warn("front: settings not read, the earlier ones stay")
				continue
			}
			log.Info("front: settings read again")
		}
	}
}
