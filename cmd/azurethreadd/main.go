// Command azurethreadd is the daemon of one entry VM.
package main

import (
	"os"

	"github.com/azurethread/azurethread/platform"
	"github.com/azurethread/azurethread/serve/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr, platform.Command))
}
