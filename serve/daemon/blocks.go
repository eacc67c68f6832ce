package daemon

import (
	"fmt"
	"os"

	"github.com/azurethread/azurethread/decide/block"
	"github.com/azurethread/azurethread/decide/engine"
)

// loadBlocks reads the table of client blocks named by the settings.
func (d *Daemon) loadBlocks() error {
	if d.set.BlocksFile == "" {
		return nil
	}
	f, err := os.Open(d.set.BlocksFile)
	if err != nil {
		return fmt.Errorf("daemon: --blocks-file: %w", err)
	}
	defer f.Close()
	t, err := block.Load(f, nil)
	if err != nil {
		return fmt.Errorf("daemon: --blocks-file %s: %w", d.set.BlocksFile, err)
	}
	d.blocks = &engine.BlockTableLoaded{Table: t}
	return nil
}
