// Command azurethread is the operators' tool.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/azurethread/azurethread/operate/capacity"
	"github.com/azurethread/azurethread/operate/command"
	"github.com/azurethread/azurethread/operate/demo"
	"github.com/azurethread/azurethread/operate/experiment"
)

// version is set by the linker.
var version = "development"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(command.Execute(ctx, command.New(version, demo.Command(), capacity.Command(), experiment.Command())))
}
