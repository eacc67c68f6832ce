package engine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/azurethread/azurethread/decide/engine/enginetest"
)

func run(seed uint64) (*enginetest.World, error) {
	w := enginetest.Random(seed)
	w.Run(10 * time.Second)
	w.Disturb(60 * time.Second)
	w.Settle(60 * time.Second)
	if err := w.Books.Err(); err != nil {
		return w, err
	}
	if err := w.Converged(); err != nil {
		return w, fmt.Errorf("seed %d: %w", seed, err)
	}
	return w, nil
}

func TestRandom(t *testing.T) {
	for seed := uint64(1); seed <= 10; seed++ {
		w, err := run(seed)
		t.Logf("%d VMs %d steps %+v", len(w.VMs), w.Books.Steps, w.Books.Counts)
		if err != nil {
			t.Error(err)
		}
	}
}
