package nodesettings

import (
	"bytes"
	"context"
	"os"
	"reflect"
	"time"

	"go.uber.org/zap"
)

// pollInterval is how often the file is compared with what was read last.
const pollInterval = time.Second

// Watch follows a settings file: it reads the file each second and whenever reload delivers, and sends settings that
// differ from the current ones, which then are the current ones. A file that cannot be read or is not valid is logged once, and the settings before stay.
// Only the newest settings are kept for a slow reader. The channel is closed once the context ends.
func Watch(ctx context.Context, path string, current Settings, reload <-chan os.Signal, log *zap.Logger) <-chan Settings {
	watcher := &watcher{path: path, log: log, current: current, changes: make(chan Settings, 1)}
	go watcher.run(ctx, reload)
	return watcher.changes
}

type watcher struct {
	path        string
	log         *zap.Logger
	current     Settings
	content     []byte // the last that was looked at, valid or not
	lastFailure string // the last that was logged, so that it is logged once
	changes     chan Settings
}

func (w *watcher) run(ctx context.Context, reload <-chan os.Signal) {
	defer close(w.changes)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
		case <-ticker.C:
		}
		w.reload()
	}
}

// reload reads the file, and sends its settings if they are new and valid.
func (w *watcher) reload() {
	content, err := os.ReadFile(w.path)
	if err != nil {
		w.logOnce(err)
		return
	}
	if bytes.Equal(content, w.content) {
		return
	}
	w.content = content
	settings, err := Parse(content)
	if err != nil {
		w.logOnce(err)
		return
	}
	w.lastFailure = ""
	if reflect.DeepEqual(settings, w.current) {
		return
	}
	w.current = settings
	w.log.Info("settings file changed", zap.String("path", w.path))
	w.send(settings)
}

func (w *watcher) logOnce(err error) {
	if err.Error() == w.lastFailure {
		return
	}
	w.lastFailure = err.Error()
	w.log.Error("settings file not taken, the settings before stay", zap.String("path", w.path), zap.Error(err))
}

// send replaces settings that nobody has received yet.
func (w *watcher) send(settings Settings) {
	select {
	case <-w.changes:
	default:
	}
	w.changes <- settings
}
