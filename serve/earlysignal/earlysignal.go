// Package earlysignal keeps a process alive that is asked to reload its settings while it
// starts. SIGHUP is ignored once the program is loaded, as its settings are yet to be read,
// and received once the package is initialized.
package earlysignal

/*
#include <signal.h>

__attribute__((constructor)) static void ignore_hangup(void) { signal(SIGHUP, SIG_IGN); }
*/
import "C"

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
