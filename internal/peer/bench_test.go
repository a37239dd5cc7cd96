package peer

import (
	"bytes"
	"fmt"
	"testing"

	"shalestage.example/shalestage/internal/core"
)

// BenchmarkFrame measures encoding and decoding a status by its number of shards. gob repeats the type
// descriptions in every frame.
func BenchmarkFrame(b *testing.B) {
	for _, blocks := range []int{1, 4, 16, 64} {
		b.Run(fmt.Sprintf("blocks=%d", blocks), func(b *testing.B) {
			m := core.PeerStatus{Seat: 1}
			for k := range blocks {
				m.Blocks = append(m.Blocks, core.ShardStatus{Block: k, Share: 1, Use: 0.5})
			}
			size := 0
			for b.Loop() {
				f, err := Encode("node-0", m)
				if err != nil {
					b.Fatal(err)
				}
				if _, _, err := Decode(bytes.NewReader(f)); err != nil {
					b.Fatal(err)
				}
				size = len(f)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
