package pipe

import (
	"bytes"
	"net/http"
	"slices"
	"testing"
)

// BenchmarkHeadFinder measures the search for heads in 1 MiB that is read in parts of 4 KiB.
func BenchmarkHeadFinder(b *testing.B) {
	for name, unit := range map[string]string{"text": "some text", "status lines": "HTTP/1.1 200 OK\r\n", "heads": "HTTP/1.1 200 OK\r\n\r\n"} {
		b.Run(name, func(b *testing.B) {
			body := bytes.Repeat([]byte(unit), (1<<20)/len(unit))
			for b.Loop() {
				f := &headFinder{isForeign: func(*http.Response) bool { return false }}
				for part := range slices.Chunk(body, 4<<10) {
					f.add(part)
				}
			}
		})
	}
}
