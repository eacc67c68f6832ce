// Package earlysignal keeps a process alive that is asked to reload its settings while it
// starts: SIGHUP is received once the package is initialized. In a build with cgo it is
// ignored before that, from the moment at which the program is loaded, as its settings are
// yet to be read.
package earlysignal

import (
	"os"
	"os/signal"
	"syscall"
)

// maxPending bounds the signals that wait until the process has started.
const maxPending = 4

// Reloads has a value for each SIGHUP that was received.
var Reloads = make(chan os.Signal, maxPending)

func init() { signal.Notify(Reloads, syscall.SIGHUP) }
