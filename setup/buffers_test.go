package setup

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestBufferShare guards against a budget that takes the memory of everything else, and against buffers where they are switched off.
func TestBufferShare(t *testing.T) {
	for _, row := range []struct {
		share  float64
		memory int
		budget int64
		fits   bool
	}{
		{0.2, 184, 38587596, true},
		{0.2, 0, 0, true},
		{0, 184, 0, true},
		{0.5, 100, 50 << 20, true},
		{0.51, 100, 53477376, false},
		{-0.1, 0, 0, false},
	} {
		s := RelayDefaults()
		must.Eq(t, 0.2, s.Buffers.MemoryShare)
		s.MemoryMb, s.Buffers.MemoryShare = row.memory, row.share
		must.Eq(t, row.budget, s.bufferBytes())
		if row.fits {
			must.StrNotContains(t, s.Check().Error(), "Buffers")
		} else {
			must.StrContains(t, s.Check().Error(), "Buffers.MemoryShare")
		}
	}
}
