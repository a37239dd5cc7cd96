package load

import (
	"context"
	"net/http"
	"sync"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// Watched is a process whose figures are read while a load goes on.
type Watched struct {
	Name string
	Addr string // of its /metrics
}

// Reading is what a process told at a time. CPU is in cores, since the reading before.
type Reading struct {
	AtS      float64 `json:"at_s"`
	Name     string  `json:"name"`
	CPU      float64 `json:"cpu"`
	MemoryMB float64 `json:"memory_mb"`
	Requests float64 `json:"requests_per_s"` // that the emulated state service took
	Writes   float64 `json:"writes_waiting"` // changes that wait for it, of a controller
}

// watcher reads figures once a second.
type watcher struct {
	mu   sync.Mutex
	list []Reading
}

// figures read of /metrics, by what they are called there.
const (
	nameCPU      = "process_cpu_seconds_total"
	nameMemory   = "process_resident_memory_bytes"
	nameRequests = "emulator_state_requests_total"
	nameWrites   = "shalestage_writes_waiting"
)

// watch reads the figures of processes until the context ends.
func watch(ctx context.Context, began time.Time, list []Watched) *watcher {
	w := &watcher{}
	for _, p := range list {
		go w.follow(ctx, began, p)
	}
	return w
}

func (w *watcher) follow(ctx context.Context, began time.Time, p Watched) {
	c := &http.Client{Timeout: 2 * time.Second}
	var last map[string]float64
	lastAt := time.Now()
	for t := time.NewTicker(time.Second); ; {
		v, err := scrape(ctx, c, p.Addr)
		at := time.Now()
		if err == nil && last != nil {
			d := at.Sub(lastAt).Seconds()
			w.mu.Lock()
			w.list = append(w.list, Reading{AtS: at.Sub(began).Seconds(), Name: p.Name, CPU: max(0, v[nameCPU]-last[nameCPU]) / d,
				MemoryMB: v[nameMemory] / (1 << 20), Requests: max(0, v[nameRequests]-last[nameRequests]) / d, Writes: v[nameWrites]})
			w.mu.Unlock()
		}
		if err == nil {
			last, lastAt = v, at
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return
		}
	}
}

// readings returns what was read.
func (w *watcher) readings() []Reading {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.list
}

// scrape reads figures; those with several labels are added up.
func scrape(ctx context.Context, c *http.Client, addr string) (map[string]float64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/metrics", nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	p := expfmt.NewTextParser(model.UTF8Validation)
	families, err := p.TextToMetricFamilies(http.MaxBytesReader(nil, resp.Body, 4<<20))
	if err != nil {
		return nil, err
	}
	out := map[string]float64{}
	for name, f := range families {
		for _, m := range f.GetMetric() {
			switch f.GetType() {
			case dto.MetricType_COUNTER:
				out[name] += m.GetCounter().GetValue()
			case dto.MetricType_GAUGE:
				out[name] += m.GetGauge().GetValue()
			}
		}
	}
	return out, nil
}
