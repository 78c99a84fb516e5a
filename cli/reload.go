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

// settingsPollInterval is the pause between two looks at the settings file, which may change
// without a signal. A look is one system call.
const settingsPollInterval = 2 * time.Second

// fileVersion tells versions of a file apart. The zero value is of a file that can't be
// read.
type fileVersion struct {
	size    int64
	modTime time.Time
}

func statVersion(path string) fileVersion {
	info, err := os.Stat(path)
	if err != nil {
		// A file that is being replaced is looked at again.
		return fileVersion{}
	}
	return fileVersion{size: info.Size(), modTime: info.ModTime()}
}

// watchSettings reads the settings again on SIGHUP, and when the file has changed.
func watchSettings(ctx context.Context, h *front.Host, log *logrus.Entry) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	path := os.Getenv(platform.SettingsVariable)
	known := statVersion(path)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		isDue := false
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			isDue = true
		case <-ticker.C:
		}
		v := statVersion(path)
		if !isDue && (v == known || v == (fileVersion{})) {
			continue
		}
		known = v
		settings, err := platform.LoadSettings()
		if err != nil {
			log.WithField("why", err.Error()).Warn("front: settings not read, the earlier ones stay")
			continue
		}
		limitMemory(settings)
		h.Reconfigure(ctx, settings)
	}
}
