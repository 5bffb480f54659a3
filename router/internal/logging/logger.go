package logging

import (
	"context"
	"io"
	"log/slog"

	"masticplank.example/router/internal/settings"
)

// Keys of the attributes that events have in common.
const (
	// KeyEvent holds the event's number.
	KeyEvent = "event"
	// KeyName holds the event's name.
	KeyName = "name"
	// KeyInstance holds the name of the logging instance.
	KeyInstance = "instance"
	// KeyError holds the text of an error, in events that have one.
	KeyError = "error"
)

// Logger emits events. It is safe for concurrent use. The nil Logger drops
// everything.
type Logger struct {
	slog *slog.Logger
}

// New returns a Logger that writes events to w in the format of cfg, if they have at
// least the level of cfg.
func New(w io.Writer, cfg settings.Log) *Logger {
	opts := &slog.HandlerOptions{Level: level(cfg.Level)}
	if cfg.Format == settings.FormatText {
		return &Logger{slog.New(slog.NewTextHandler(w, opts))}
	}
	return &Logger{slog.New(slog.NewJSONHandler(w, opts))}
}

// With returns a Logger whose events all carry attrs.
func (l *Logger) With(attrs ...slog.Attr) *Logger {
	if l == nil {
		return nil
	}
	return &Logger{slog.New(l.slog.Handler().WithAttrs(attrs))}
}

// Emit logs ev with attrs.
func (l *Logger) Emit(ctx context.Context, ev Event, attrs ...slog.Attr) {
	if l == nil || !l.slog.Enabled(ctx, ev.Level) {
		return
	}
	allAttrs := append([]slog.Attr{slog.Int(KeyEvent, ev.ID), slog.String(KeyName, ev.Name)}, attrs...)
	l.slog.LogAttrs(ctx, ev.Level, ev.Text, allAttrs...)
}

// Err is an attribute with err's text; an empty attribute, which is not logged, for
// a nil err.
func Err(err error) slog.Attr {
	if err == nil {
		return slog.Attr{}
	}
	return slog.String(KeyError, err.Error())
}

// level converts the setting log.level, which has been validated.
func level(name string) slog.Level {
	switch name {
	case settings.LevelDebug:
		return slog.LevelDebug
	case settings.LevelWarn:
		return slog.LevelWarn
	case settings.LevelError:
		return slog.LevelError
	default:
		return slog.LevelInfo
	}
}
