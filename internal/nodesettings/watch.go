package nodesettings

import (
	"bytes"
	"context"
	"os"
	"reflect"
	"time"

	"go.uber.org/zap"
)

// pollInterval is how often the file is compared with its last content.
const pollInterval = time.Second

// Watch follows a settings file: it reads the file each second and at each signal on reload, and sends settings that differ from
// the current ones, which they then replace. A file that cannot be read or is invalid is logged once, and the current settings
// stay in force. A slow receiver gets the newest settings only. The channel is closed once the context has ended.
func Watch(ctx context.Context, path string, current Settings, reload <-chan os.Signal, log *zap.Logger) <-chan Settings {
	watcher := &watcher{path: path, log: log, current: current, changes: make(chan Settings, 1)}
	go watcher.run(ctx, reload)
	return watcher.changes
}

type watcher struct {
	path        string
	log         *zap.Logger
	current     Settings
	content     []byte // the last that was read, valid or not
	lastFailure string // text of the last error, so that it is logged once
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

// logOnce logs an error, unless it is that of the last reading.
func (w *watcher) logOnce(err error) {
	if err.Error() == w.lastFailure {
		return
	}
	w.lastFailure = err.Error()
	// Operators' pages name this event.
	w.log.Error("settings file rejected; the previous settings stay in force", zap.String("path", w.path), zap.Error(err))
}

// send sends settings, in place of those that have not been received yet.
func (w *watcher) send(settings Settings) {
	select {
	case <-w.changes:
	default:
	}
	w.changes <- settings
}
