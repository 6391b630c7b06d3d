// Package asynclog writes the log of an aggregator. Each line is a JSON object with level, time (milliseconds since 1970
// UTC) and message. A slow reader of the log never delays the aggregator: a line is dropped and reported if the buffer
// is full.
package asynclog

import (
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// New returns a logger that writes lines of every level to out. Out must be safe for concurrent use.
func New(out zapcore.WriteSyncer) *zap.Logger {
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(configuration()), out, zapcore.DebugLevel))
}

// configuration returns the encoding of a line and of its standard fields.
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

// encodeMilliseconds encodes a time as whole milliseconds since 1970 UTC.
func encodeMilliseconds(at time.Time, line zapcore.PrimitiveArrayEncoder) {
	line.AppendInt64(at.UnixMilli())
}
