package fleet

import (
	"encoding/json"
	"errors"
	"fmt"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/units"
)

// Type is a kind of machine that the cloud offers.
type Type struct {
	Name     string             `json:"name"`
	Capacity binpack.Vec        `json:"capacity"`
	CacheMB  int64              `json:"cache_mb"`
	FetchMBs int64              `json:"fetch_mb_per_s"`
	Boot     units.Microseconds `json:"boot"`
	Zones    []string           `json:"zones"`

	Price     float64 `json:"price"`
	SpotPrice float64 `json:"spot_price"`
}

// PriceFor is the price of a machine of the type.
func (t *Type) PriceFor(spot bool) float64 {
	if spot {
		return t.SpotPrice
	}
	return t.Price
}

// Record is what a new owner has to know of a machine. A task may start only on a machine that is
// stored as up, so that every machine that may run tasks is known.
type Record struct {
	Type string
	Zone string
	Spot bool
	Up   bool
}

// Group is the stored value of machines of one kind that were provisioned together.
type Group struct {
	Shard   int      `json:"block,omitempty"`
	Type    string   `json:"type"`
	Zone    string   `json:"zone"`
	Spot    bool     `json:"spot"`
	Up      []string `json:"up,omitempty"`
	Booting []string `json:"booting,omitempty"`
	// ProvisionedAt is the time of day at which they were; 0: not known.
	ProvisionedAt units.Microseconds `json:"rented,omitempty"`
}

// FullShardMachines is how many machines one shard carries at least. Whatever counts a shard's machines,
// their connections or their heartbeats is sized by it; docs/CAPACITY.md, "Fixed limits", lists it.
const FullShardMachines = 4096

// MaxGroup is how many machines one group may have: as many as the cloud provisions at once, so that
// a group stays far below the state service's value limit.
const MaxGroup = 50

var errNoTypeOrZone = errors.New("group of machines: no type or zone")

// DecodeGroup reads stored machines. Releases before 0.2 stored each machine by itself under its
// name; tasks may run there all the same.
func DecodeGroup(name string, b []byte) (Group, error) {
	var group Group
	if err := json.Unmarshal(b, &group); err != nil {
		var single struct {
			Group
			Up bool `json:"up"`
		}
		if json.Unmarshal(b, &single) != nil {
			return group, fmt.Errorf("group of machines: %w", err)
		}
		group = single.Group
		if single.Up {
			group.Up = []string{name}
		} else {
			group.Booting = []string{name}
		}
	}
	if group.Type == "" || group.Zone == "" {
		return group, errNoTypeOrZone
	}
	return group, nil
}

// Record returns what is known of each machine of the group.
func (g Group) Record(up bool) Record { return Record{g.Type, g.Zone, g.Spot, up} }
