// Package logs sets up logging as JSON lines by logrus, for this program and
// for the network library nbio.
package logs

import (
	"fmt"
	"io"
	"os/signal"
	"syscall"
	"time"

	"github.com/lesismal/nbio/logging"
	"github.com/sirupsen/logrus"
)

// New returns a logger that writes JSON lines to w. An unknown level counts as
// info; the settings have been validated before.
func New(level string, w io.Writer) *logrus.Logger {
	l := logrus.New()
	l.SetOutput(w)
	l.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	if v, err := logrus.ParseLevel(level); err == nil {
		l.SetLevel(v)
	}
	return l
}

// OutliveReader keeps the process alive when nobody reads its standard output or standard
// error any more: a write to them then fails instead of ending it.
func OutliveReader() { signal.Ignore(syscall.SIGPIPE) }

// RedirectNbio sends nbio's log messages to l. nbio's logger is global to the
// process. Its info messages are logged at debug level, because nbio reports
// every start and stop of a poller as info.
func RedirectNbio(l logrus.FieldLogger) {
	logging.SetLogger(nbioLogger{l.WithField("library", "nbio")})
}

// nbioLogger implements nbio's logging.Logger.
type nbioLogger struct{ l logrus.FieldLogger }

func (n nbioLogger) SetLevel(int) {}

func (n nbioLogger) Debug(format string, v ...any) { n.l.Debug(fmt.Sprintf(format, v...)) }

func (n nbioLogger) Info(format string, v ...any) { n.l.Debug(fmt.Sprintf(format, v...)) }

func (n nbioLogger) Warn(format string, v ...any) { n.l.Warn(fmt.Sprintf(format, v...)) }

func (n nbioLogger) Error(format string, v ...any) { n.l.Error(fmt.Sprintf(format, v...)) }
