package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vanillaquay/vanillaquay/front"
	"github.com/vanillaquay/vanillaquay/platform"
)

// settingsPollInterval is the interval at which the settings file is polled, as it may
// change without a signal. A poll is one system call.
const settingsPollInterval = 2 * time.Second

// fileVersion distinguishes versions of a file by size and modification time. The zero
// value is the version of a file that can't be read.
type fileVersion struct {
	size    int64
	modTime time.Time
}

// statVersion returns the version of a file.
func statVersion(path string) fileVersion {
	info, err := os.Stat(path)
	if err != nil {
		// The file may be in the middle of a replacement; the next poll checks it again.
		return fileVersion{}
	}
	return fileVersion{size: info.Size(), modTime: info.ModTime()}
}

// hangupSignals delivers SIGHUP.
type hangupSignals <-chan os.Signal

// catchHangups returns the channel of SIGHUP for a command line that runs an entry host, and
// nil for others, which the signal ends. It is called before anything else, as settings may
// change while a host starts.
func catchHangups(arguments []string) hangupSignals {
	if len(arguments) == 0 || arguments[0] != "front" {
		return nil
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// watchSettings reloads the settings on SIGHUP and when the file has changed. If they
// can't be read, the previous settings stay in force.
func watchSettings(ctx context.Context, h *front.Host, hangups hangupSignals, log *logrus.Entry) {
	path := os.Getenv(platform.SettingsVariable)
	lastVersion := statVersion(path)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		reloadRequested := false
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			reloadRequested = true
		case <-ticker.C:
		}
		v := statVersion(path)
		if !reloadRequested && (v == lastVersion || v == (fileVersion{})) {
			continue
		}
		lastVersion = v
		settings, err := platform.LoadSettings()
		if err != nil {
			log.WithField("why", err.Error()).Warn("front: settings not read, keeping the previous ones")
			continue
		}
		limitMemory(settings.MemoryLimit)
		h.Reconfigure(ctx, settings)
	}
}
