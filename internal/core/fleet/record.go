package fleet

import (
	"encoding/json"
	"errors"
	"fmt"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/units"
)

// Type is a machine type that the cloud offers.
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

// PriceFor returns the price of a spot or an on-demand machine of the type.
func (t *Type) PriceFor(spot bool) float64 {
	if spot {
		return t.SpotPrice
	}
	return t.Price
}

// Record is the part of a machine's state that a new owner needs. A task may start only on a machine that
// is stored as up, so that a new owner knows of every machine that may run tasks.
type Record struct {
	Type string
	Zone string
	Spot bool
	Up   bool
}

// Group is the stored record of machines of the same type, zone and pricing that were provisioned
// together.
type Group struct {
	Shard   int      `json:"block,omitempty"`
	Type    string   `json:"type"`
	Zone    string   `json:"zone"`
	Spot    bool     `json:"spot"`
	Up      []string `json:"up,omitempty"`
	Booting []string `json:"booting,omitempty"`
	// ProvisionedAt is the wall-clock time at which they were provisioned; 0 if not known.
	ProvisionedAt units.Microseconds `json:"rented,omitempty"`
}

// FullShardMachines is the number of machines that one shard must be able to hold. Limits on a shard's
// machines, their connections or their heartbeats derive from it; docs/CAPACITY.md, "Fixed limits", lists
// them.
const FullShardMachines = 4096

// MaxGroup is the largest number of machines in one group: as many as the cloud provisions in one
// request, so that a stored group stays far below the state service's limit on the size of a value.
const MaxGroup = 50

var errNoTypeOrZone = errors.New("stored group of machines has no type or zone")

// DecodeGroup decodes a stored group of machines. Releases before 0.2 stored each machine by itself under
// its own name. Such records are decoded as a group of one machine, because tasks may be running on it.
func DecodeGroup(name string, b []byte) (Group, error) {
	var group Group
	if err := json.Unmarshal(b, &group); err != nil {
		var single struct {
			Group
			Up bool `json:"up"`
		}
		if json.Unmarshal(b, &single) != nil {
			return group, fmt.Errorf("decode stored group of machines: %w", err)
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

// Record returns the record of a machine of the group; up reports whether the group lists it as up.
func (g Group) Record(up bool) Record { return Record{g.Type, g.Zone, g.Spot, up} }
