package telemetry

import (
	stdlog "log"
	"strings"
	"sync/atomic"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

const (
	// serverErrorsPerSecond and serverErrorBurst limit the log lines of one HTTP server: clients can cause them.
	serverErrorsPerSecond = 1
	serverErrorBurst      = 10
	// maxServerErrorBytes limits the size of one of them. net/http adds whole stacks.
	maxServerErrorBytes = 2048
)

// ServerErrorLog returns the ErrorLog of an http.Server, whose messages become warnings with the name of the listener.
func ServerErrorLog(log logrus.FieldLogger, listener string) *stdlog.Logger {
	return stdlog.New(&serverErrors{log: log.WithField("listener", listener), limiter: rate.NewLimiter(serverErrorsPerSecond, serverErrorBurst)}, "", 0)
}

type serverErrors struct {
	log     logrus.FieldLogger
	limiter *rate.Limiter
	dropped atomic.Int64 // Messages above the limit since the last one that was logged.
}

// Write implements io.Writer. log.Logger calls it once for each message.
func (s *serverErrors) Write(p []byte) (int, error) {
	if !s.limiter.Allow() {
		s.dropped.Add(1)
		return len(p), nil
	}
	message := strings.TrimRight(string(p[:min(len(p), maxServerErrorBytes)]), "\n")
	s.log.WithFields(logrus.Fields{"message": message, "dropped": s.dropped.Swap(0)}).Warning("HTTP server error")
	return len(p), nil
}
