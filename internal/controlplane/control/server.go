package control

import (
	"net/http"
	"time"

	"go.uber.org/zap"
)

// Limits of the server, see the fields of http.Server.
const (
	headerTimeout  = 5 * time.Second
	readTimeout    = 15 * time.Second
	writeTimeout   = 15 * time.Second
	idleTimeout    = time.Minute
	maxHeaderBytes = 32 << 10
)

// NewServer returns an HTTP server for the operator API, with limits for slow and idle clients. Handlers must respond within
// 15 s.
func NewServer(handler http.Handler, logger *zap.Logger) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          zap.NewStdLog(logger),
	}
}
