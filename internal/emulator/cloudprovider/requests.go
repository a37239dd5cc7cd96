package cloudprovider

import (
	"net/http"
	"slices"
	"sort"
	"strings"

	"shalestage.example/shalestage/internal/core/units"
)

// Listed is an entry of the machine list.
type Listed struct {
	*Machine
	State string // Booting, Running or Failed
	Age   units.Microseconds
}

// States of a listed machine.
const (
	Booting = "booting"
	Running = "running"
	Failed  = "failed"
)

// admit applies the rate limit to a request and returns 200, or the status with which it is refused.
func (p *Provider) admit(now units.Microseconds) int {
	p.Advance(now)
	if now < p.downUntil {
		return http.StatusServiceUnavailable
	}
	bucket := &p.bucket
	bucket.used = max(0, bucket.used-(now-bucket.at).Seconds()*p.config.RequestRate)
	bucket.at = now
	if bucket.used+1 > 2*p.config.RequestRate {
		return http.StatusTooManyRequests
	}
	bucket.used++
	return http.StatusOK
}

// MachineTypes returns the price list with the current spot prices, and an HTTP status.
func (p *Provider) MachineTypes(now units.Microseconds) ([]MachineType, int) {
	code := p.admit(now)
	if code != http.StatusOK {
		return nil, code
	}
	out := slices.Clone(p.config.Types)
	for i := range out {
		out[i].SpotPrice = p.types[out[i].Name].spot
	}
	return out, code
}

// ScaleOut creates up to count machines. It is idempotent: a repeated request that succeeded before
// returns the same machines. A 503 with noCapacity means that the pool has no capacity, a 503 without
// it that the request was not executed.
func (p *Provider) ScaleOut(now units.Microseconds, request string, pool Pool, count int) (names []string, noCapacity bool, code int) {
	if code = p.admit(now); code != http.StatusOK {
		return nil, false, code
	}
	machineType := p.types[pool.Type]
	if request == "" || count < 1 || count > MaxScaleOut || machineType == nil || !slices.Contains(machineType.Zones, pool.Zone) {
		return nil, false, http.StatusBadRequest
	}
	if names, ok := p.created[request]; ok {
		return names, false, http.StatusOK
	}
	n := min(count, p.config.Capacity[pool]-p.used[pool])
	if n <= 0 || now < p.noCapacityUntil[pool] {
		return nil, true, http.StatusServiceUnavailable
	}
	for range n {
		names = append(names, p.create(now, pool, machineType).Name)
	}
	p.created[request] = names
	return names, false, http.StatusOK
}

// PoolsWithCapacity returns the pools in which a request would create a machine now, in a stable order.
func (p *Provider) PoolsWithCapacity(now units.Microseconds) (pools []Pool) {
	if now < p.downUntil {
		return nil
	}
	for _, machineType := range p.config.Types {
		for _, zone := range machineType.Zones {
			for _, spot := range []bool{false, true} {
				pool := Pool{machineType.Name, zone, spot}
				if p.used[pool] < p.config.Capacity[pool] && now >= p.noCapacityUntil[pool] {
					pools = append(pools, pool)
				}
			}
		}
	}
	return pools
}

// ScaleIn deletes machines and returns an HTTP status. It ignores unknown names.
func (p *Provider) ScaleIn(now units.Microseconds, names []string) int {
	if code := p.admit(now); code != http.StatusOK {
		return code
	}
	if len(names) > MaxScaleIn {
		return http.StatusBadRequest
	}
	for _, n := range names {
		m := p.byName[n]
		if m == nil || m.DeletedAt != units.MaxTime {
			continue
		}
		alive := m.DiedAt == units.MaxTime
		p.markDeleted(now, m, MinimumCharge)
		if alive {
			p.effects = append(p.effects, MachineEnded{m})
		}
	}
	return http.StatusOK
}

// List returns a page of the machine list as it was some time ago, and an HTTP status. A list may
// reflect an older state than the one before it, but a machine that was listed once stays listed until
// it is deleted.
func (p *Provider) List(now units.Microseconds, after string, page int) (out []Listed, more bool, code int) {
	if code = p.admit(now); code != http.StatusOK {
		return nil, false, code
	}
	if page < 1 || page > MaxListPage {
		return nil, false, http.StatusBadRequest
	}
	lag := float64(p.config.ListLag) * (0.7 + 0.6*p.rng.Float64())
	if p.rng.Float64() < 0.1 {
		lag = float64(p.config.ListLag) * 2
	}
	then := now - units.Microseconds(lag)
	p.dropDeleted(now)
	i := sort.Search(len(p.machines), func(i int) bool { return strings.Compare(p.machines[i].Name, after) > 0 })
	for ; i < len(p.machines); i++ {
		m := p.machines[i]
		if m.DeletedAt <= then || m.CreatedAt > then && !m.listed {
			continue
		}
		if len(out) == page {
			return out, true, code
		}
		m.listed = true
		l := Listed{Machine: m, State: Running, Age: max(then-m.CreatedAt, 0)}
		switch {
		case m.DiedAt+failureDetection <= then:
			l.State = Failed
		case m.UpAt > then && m.DiedAt > then:
			l.State = Booting
		}
		out = append(out, l)
	}
	return out, false, code
}

// dropDeleted drops the machines that no list can show any more, so that the cost of a list does not
// grow over time.
func (p *Provider) dropDeleted(now units.Microseconds) {
	p.machines = slices.DeleteFunc(p.machines, func(m *Machine) bool {
		if m.DeletedAt != units.MaxTime && m.DeletedAt+2*p.config.ListLag+units.Second < now {
			delete(p.byName, m.Name)
			return true
		}
		return false
	})
}
