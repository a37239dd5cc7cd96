package archive

import (
	"fmt"
	"testing"
	"time"

	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

// managerHost is a controller whose state service has lost all buckets. What it does not
// override is not called here.
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

// After the state service went back everything that is remembered of archived jobs is looked
// up, and written again where it is lost. Lookups are refused while too many wait: those are
// made later, and the tick ends.
func TestVerifyBeyondQueueLimit(t *testing.T) {
	host := &managerHost{rewritten: map[string]bool{}}
	k := NewManager(Config{}, host)
	const depth, remembered = 5, 200
	for n := range uint32(1 << depth) {
		k.index.recordDepth(n, depth)
	}
	for i := range remembered {
		k.index.CacheSummary(fmt.Sprintf("wk-%06d", i), Summary{Status: jobs.Done, Tasks: 1})
	}
	k.RolledBack()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for now := units.Second; now < 4000*units.Second && len(host.rewritten) < remembered; now += units.Second {
			k.Tick(now)
			k.Pump(now)
			for _, effect := range host.emitted {
				k.OnRead(now, effect.(Read), store.OK, nil, 0)
			}
			host.emitted = nil
		}
	}()
	select {
	case <-ended:
	case <-time.After(20 * time.Second):
		t.Fatal("a tick does not end")
	}
	if len(host.rewritten) != remembered {
		t.Fatalf("%d of %d lost answers are written again", len(host.rewritten), remembered)
	}
}
