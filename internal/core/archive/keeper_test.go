package archive

import (
	"fmt"
	"testing"
	"time"

	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

// keeperHost is a controller whose state service has lost all buckets. What it does not
// override is not called here.
type keeperHost struct {
	Host
	emitted   []any
	rewritten map[string]bool
}

func (h *keeperHost) Emit(effect any)         { h.emitted = append(h.emitted, effect) }
func (h *keeperHost) ReadRate() float64       { return 1 }
func (h *keeperHost) CacheComplete() bool     { return true }
func (h *keeperHost) CacheFresh() bool        { return false }
func (h *keeperHost) HighestRevision() uint64 { return 1 }
func (h *keeperHost) Job(string) *jobs.Job    { return nil }
func (h *keeperHost) Rewrite(e store.Event)   { h.rewritten[e.Key] = true }

// After the state service went back everything that is remembered of archived jobs is looked
// up, and written again where it is lost. Lookups are refused while too many wait: those are
// made later, and the tick ends.
func TestVerifiesMoreThanMayWait(t *testing.T) {
	host := &keeperHost{rewritten: map[string]bool{}}
	k := NewKeeper(Config{}, host)
	const depth, remembered = 5, 200
	for n := range uint32(1 << depth) {
		k.index.noteDepth(n, depth)
	}
	for i := range remembered {
		k.index.Remember(fmt.Sprintf("wk-%06d", i), Answer{Status: jobs.Done, Tasks: 1})
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
