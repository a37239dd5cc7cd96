package wire

import (
	"encoding/json"
	"fmt"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/units"
)

// Guard is a condition of a transaction: the key has this version (0: absent).
type Guard struct {
	Key     string `json:"k"`
	Version uint64 `json:"stamp"`
}

// Change is one put or delete of a transaction.
type Change struct {
	Put    string          `json:"write,omitempty"`
	Value  json.RawMessage `json:"data,omitempty"`
	Lease  uint64          `json:"pass,omitempty"`
	Delete string          `json:"remove,omitempty"`
}

// CommitRequest is the body of a transaction.
type CommitRequest struct {
	If   []Guard  `json:"guards"`
	Then []Change `json:"apply"`
}

// NoSuchLease is the error of a transaction whose lease has ended.
const NoSuchLease = "no such lease"

// CommitResult answers a transaction.
type CommitResult struct {
	Revision uint64   `json:"ledger_rev"`
	Failed   []string `json:"failed,omitempty"`
	Error    string   `json:"error,omitempty"`
}

// Item is one key of a listing.
type Item struct {
	Key     string          `json:"k"`
	Value   json.RawMessage `json:"data"`
	Version uint64          `json:"stamp"`
}

// Listing answers a listing of keys.
type Listing struct {
	Items    []Item `json:"entries"`
	More     bool   `json:"truncated"`
	Revision uint64 `json:"ledger_rev"`
}

// Event is one change that a watch saw.
type Event struct {
	Put     string          `json:"write,omitempty"`
	Value   json.RawMessage `json:"data,omitempty"`
	Version uint64          `json:"stamp"`
	Delete  string          `json:"remove,omitempty"`
}

// WatchResponse answers a watch.
type WatchResponse struct {
	Revision uint64  `json:"ledger_rev"`
	Events   []Event `json:"events"`
}

// LeaseRequest asks for a lease.
type LeaseRequest struct {
	TTLMillis int64 `json:"ttl_ms"`
}

// Lease answers a lease request.
type Lease struct {
	ID uint64 `json:"pass"`
}

// MachineTypes answers the cloud's price list.
type MachineTypes struct {
	Types []MachineType `json:"rigs"`
}

// MachineType is one type on the price list.
type MachineType struct {
	Name      string   `json:"sku"`
	Cores     float64  `json:"cores"`
	GPUs      float64  `json:"cards"`
	MemoryGB  float64  `json:"memory_gb"`
	CacheGB   float64  `json:"cache_gb"`
	FetchGBs  float64  `json:"fetch_gb_per_s"`
	Price     float64  `json:"price"`
	SpotPrice float64  `json:"low_price"`
	BootS     float64  `json:"startup_s"`
	Zones     []string `json:"halls"`
}

// Type checks a price list's entry and turns it into the core's form.
func (t MachineType) Type() (fleet.Type, error) {
	for _, amount := range []float64{t.Cores, t.GPUs, t.MemoryGB, t.CacheGB, t.FetchGBs, t.Price, t.SpotPrice, t.BootS} {
		if !(amount >= 0 && amount <= maxAmount) {
			return fleet.Type{}, fmt.Errorf("machine type %q: amount %v", t.Name, amount)
		}
	}
	if t.Name == "" || len(t.Name) > 100 {
		return fleet.Type{}, fmt.Errorf("machine type %q: name", t.Name)
	}
	return fleet.Type{
		Name:     t.Name,
		Capacity: binpack.Vec{units.MilliDown(t.Cores), units.MilliDown(t.GPUs), units.MilliDown(t.MemoryGB)},
		CacheMB:  units.MilliDown(t.CacheGB), FetchMBs: units.MilliDown(t.FetchGBs),
		Boot: units.Seconds(t.BootS), Zones: t.Zones, Price: t.Price, SpotPrice: t.SpotPrice,
	}, nil
}

// ScaleOutRequest asks the cloud for machines.
type ScaleOutRequest struct {
	Request string `json:"booking"`
	Type    string `json:"rig"`
	Zone    string `json:"hall"`
	Spot    bool   `json:"standby"`
	Count   int    `json:"count"`
}

// MachineNames lists machines by name.
type MachineNames struct {
	Machines []string `json:"stagehands"`
}

// HostList is one page of the machine list.
type HostList struct {
	Machines []Host `json:"stagehands"`
	More     bool   `json:"truncated"`
}

// Host is one machine of the machine list.
type Host struct {
	ID    string  `json:"name_id"`
	Addr  string  `json:"address"`
	Type  string  `json:"rig"`
	Zone  string  `json:"hall"`
	Spot  bool    `json:"standby"`
	State string  `json:"status"`
	AgeS  float64 `json:"held_s"`
}

// States of a listed machine.
const (
	HostBooting = "starting"
	HostRunning = "running"
	HostFailed  = "failed"
)
