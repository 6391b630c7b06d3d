package nodesettings

import (
	"bytes"
	"context"
	"os"
	"reflect"
	"time"

	"go.uber.org/zap"
)

// pollInterval is the interval at which the file is compared with its last content.
const pollInterval = time.Second

// Watch reads a settings file every second and at each signal on reload. It sends the settings if they differ from the current
// ones, and makes them the current ones. A file that cannot be read or is invalid is logged once, and the current settings
// stay in force. A slow receiver gets only the newest settings. The channel is closed when the context ends.
func Watch(ctx context.Context, path string, current Settings, reload <-chan os.Signal, log *zap.Logger) <-chan Settings {
	watcher := &watcher{path: path, log: log, current: current, changes: make(chan Settings, 1)}
	go watcher.run(ctx, reload)
	return watcher.changes
}

type watcher struct {
	path        string
	log         *zap.Logger
	current     Settings
	content     []byte // last content that was read, valid or not
	lastFailure string // text of the last error, so that it is logged only once
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

// reload reads the file and sends its settings if they are valid and have changed.
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

// logOnce logs an error, unless it is the same as the last one.
func (w *watcher) logOnce(err error) {
	if err.Error() == w.lastFailure {
		return
	}
	w.lastFailure = err.Error()
	// The operators' documentation names this message.
	w.log.Error("settings file rejected; the previous settings stay in force", zap.String("path", w.path), zap.Error(err))
}

// send sends settings. They replace those that have not been received yet.
func (w *watcher) send(settings Settings) {
	select {
	case <-w.changes:
	default:
	}
	w.changes <- settings
}
