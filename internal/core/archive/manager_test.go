package archive

import (
	"fmt"
	"testing"
	"time"

	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

// managerHost is a controller whose state service has lost all buckets. Methods that it does not
// override are not called by the test.
type managerHost struct {
	Host
	emitted   []any
	rewritten map[string]bool
}

func (h *managerHost) Emit(effect any)         { h.emitted = append(h.emitted, effect) }
func (h *managerHost) ReadRate() float64       { return 1 }
func (h *managerHost) CacheComplete() bool     { return true }
func (h *managerHost) CacheFresh() bool        { return false }
func (h *managerHost) HighestRevision() uint64 { return 1 }
func (h *managerHost) Job(string) *jobs.Job    { return nil }
func (h *managerHost) Rewrite(e store.Event)   { h.rewritten[e.Key] = true }

// TestVerifyBeyondQueueLimit guards against a Tick that does not end after a rollback of the state service.
// All cached summaries are then verified, which are more lookups than may be queued. Refused lookups must be
// made at a later tick, and all lost jobs must be stored again.
func TestVerifyBeyondQueueLimit(t *testing.T) {
	host := &managerHost{rewritten: map[string]bool{}}
	manager := NewManager(Config{}, host)
	const depth, cached = 5, 200
	for n := range uint32(1 << depth) {
		manager.index.recordDepth(n, depth)
	}
	for i := range cached {
		manager.index.CacheSummary(fmt.Sprintf("wk-%06d", i), Summary{Status: jobs.Done, Tasks: 1})
	}
	manager.RolledBack()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for now := units.Second; now < 4000*units.Second && len(host.rewritten) < cached; now += units.Second {
			manager.Tick(now)
			manager.Pump(now)
			for _, effect := range host.emitted {
				manager.OnRead(now, effect.(Read), store.OK, nil, 0)
			}
			host.emitted = nil
		}
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("verification did not end within 20 s")
	}
	if len(host.rewritten) != cached {
		t.Fatalf("%d of %d lost summaries were stored again", len(host.rewritten), cached)
	}
}
