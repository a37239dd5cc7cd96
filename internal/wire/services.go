package wire

import (
	"encoding/json"
	"fmt"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/units"
)

// Guard is a precondition of a transaction: the key has this version. Version 0 means that the key does not
// exist.
type Guard struct {
	Key     string `json:"k"`
	Version uint64 `json:"stamp"`
}

// Change is one put or delete in a transaction.
type Change struct {
	Put    string          `json:"write,omitempty"`
	Value  json.RawMessage `json:"data,omitempty"`
	Lease  uint64          `json:"pass,omitempty"`
	Delete string          `json:"remove,omitempty"`
}

// CommitRequest is the body of a request to commit a transaction.
type CommitRequest struct {
	If   []Guard  `json:"guards"`
	Then []Change `json:"apply"`
}

// NoSuchLease is the error text for a transaction whose lease has expired or was revoked.
const NoSuchLease = "no such lease"

// CommitResult is the body of the response to a transaction. Failed lists the keys whose guards did not hold.
type CommitResult struct {
	Revision uint64   `json:"ledger_rev"`
	Failed   []string `json:"failed,omitempty"`
	Error    string   `json:"error,omitempty"`
}

// Item is one key in a listing.
type Item struct {
	Key     string          `json:"k"`
	Value   json.RawMessage `json:"data"`
	Version uint64          `json:"stamp"`
}

// Listing is the body of the response to a request that lists keys.
type Listing struct {
	Items    []Item `json:"entries"`
	More     bool   `json:"truncated"`
	Revision uint64 `json:"ledger_rev"`
}

// Event is one change reported by a watch.
type Event struct {
	Put     string          `json:"write,omitempty"`
	Value   json.RawMessage `json:"data,omitempty"`
	Version uint64          `json:"stamp"`
	Delete  string          `json:"remove,omitempty"`
}

// WatchResponse is the body of the response to a watch.
type WatchResponse struct {
	Revision uint64  `json:"ledger_rev"`
	Events   []Event `json:"events"`
}

// LeaseRequest is the body of a request for a lease.
type LeaseRequest struct {
	TTLMillis int64 `json:"ttl_ms"`
}

// Lease is the body of the response to a request for a lease.
type Lease struct {
	ID uint64 `json:"pass"`
}

// MachineTypes is the body of the response with the cloud's price list.
type MachineTypes struct {
	Types []MachineType `json:"rigs"`
}

// MachineType is one machine type in the price list.
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

// Type validates an entry of the price list and converts it to the core's type.
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

// ScaleOutRequest is the body of a request that rents machines. A request that is repeated with the same value
// of Request rents no further machines.
type ScaleOutRequest struct {
	Request string `json:"booking"`
	Type    string `json:"rig"`
	Zone    string `json:"hall"`
	Spot    bool   `json:"standby"`
	Count   int    `json:"count"`
}

// MachineNames is a list of machine names.
type MachineNames struct {
	Machines []string `json:"stagehands"`
}

// HostList is one page of the cloud's machine list.
type HostList struct {
	Machines []Host `json:"stagehands"`
	More     bool   `json:"truncated"`
}

// Host is one machine in the cloud's machine list.
type Host struct {
	ID    string  `json:"name_id"`
	Addr  string  `json:"address"`
	Type  string  `json:"rig"`
	Zone  string  `json:"hall"`
	Spot  bool    `json:"standby"`
	State string  `json:"status"`
	AgeS  float64 `json:"held_s"`
}

// States of a machine in the cloud's machine list.
const (
	HostBooting = "starting"
	HostRunning = "running"
	HostFailed  = "failed"
)
