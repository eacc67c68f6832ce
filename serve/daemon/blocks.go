package daemon

import (
	"fmt"
	"os"

	"github.com/azurethread/azurethread/decide/block"
	"github.com/azurethread/azurethread/decide/engine"
)

// loadBlocks reads the table of client blocks from the configured file.
func (d *Daemon) loadBlocks() error {
	if d.settings.BlocksFile == "" {
		return nil
	}
	f, err := os.Open(d.settings.BlocksFile)
	if err != nil {
		return fmt.Errorf("daemon: --blocks-file: %w", err)
	}
	defer f.Close()
	t, err := block.Load(f, nil)
	if err != nil {
		return fmt.Errorf("daemon: --blocks-file %s: %w", d.settings.BlocksFile, err)
	}
	d.blocks = &engine.BlockTableLoaded{Table: t}
	return nil
}
