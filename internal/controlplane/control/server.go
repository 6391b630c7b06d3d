package control

import (
	"net/http"
	"time"

	"go.uber.org/zap"
)

const (
	headerTimeout  = 5 * time.Second
	readTimeout    = 15 * time.Second
	writeTimeout   = 15 * time.Second
	idleTimeout    = time.Minute
	maxHeaderBytes = 32 << 10
)

// NewServer makes a server of a control address, with bounds on slow and idle clients. Calls must end within 15 s.
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
