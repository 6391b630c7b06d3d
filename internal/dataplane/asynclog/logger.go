// Package asynclog is the log of an aggregator: one JSON object a line, with level, time (milliseconds since 1970) and message.
// A slow reader of the log never delays the aggregator: lines that find no room are dropped and counted.
package asynclog

import (
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// New makes a log that writes lines of every level to out, which several goroutines may use at once.
func New(out zapcore.WriteSyncer) *zap.Logger {
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(configuration()), out, zapcore.DebugLevel))
}

// configuration names the fields that each line has.
func configuration() zapcore.EncoderConfig {
	return zapcore.EncoderConfig{
		LevelKey:       "level",
		TimeKey:        "time",
		MessageKey:     "message",
		LineEnding:     zapcore.DefaultLineEnding,
		EncodeLevel:    zapcore.LowercaseLevelEncoder,
		EncodeTime:     encodeMilliseconds,
		EncodeDuration: zapcore.SecondsDurationEncoder,
	}
}

// encodeMilliseconds writes a time as whole milliseconds since 1970.
func encodeMilliseconds(at time.Time, line zapcore.PrimitiveArrayEncoder) {
	line.AppendInt64(at.UnixMilli())
}
