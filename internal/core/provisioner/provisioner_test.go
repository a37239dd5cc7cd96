package provisioner

import (
	"log/slog"
	"slices"
	"testing"

	"shalestage.example/shalestage/internal/core/autoscaler"
	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/core/zones"
)

const second = units.Second

// fakeShard implements Host.
type fakeShard struct {
	machines     map[string]*fleet.Machine
	unreconciled map[string]bool
	effects      []any
	adopted      []string
	provisioned  []string
	elsewhere    string // name of a machine of another shard
}

var bigType = &fleet.Type{Name: "big", Capacity: binpack.Vec{16_000}, Boot: 20 * second, Zones: []string{"z"}, Price: 1.6}

func newProvisioner(t *testing.T) (*Provisioner, *fakeShard) {
	t.Helper()
	shard := &fakeShard{machines: map[string]*fleet.Machine{}, unreconciled: map[string]bool{}}
	log := slog.New(slog.DiscardHandler)
	view := zones.New(zones.Config{Zones: []string{"z"}, Home: "z", HeartbeatInterval: second, Log: log})
	cfg := Config{FencingToken: 7, ListLag: 3 * second, AdoptAfter: 10 * second, Lease: 10 * second, HeartbeatInterval: second, Log: log,
		Scale: autoscaler.Params{AverageOver: 30 * second, WorkPerSlot: 20 * second, ScaleInAfter: 10 * second}}
	return New(cfg, shard, view), shard
}

// add adds a machine that was provisioned at the given time.
func (s *fakeShard) add(name string, at units.Microseconds) *fleet.Machine {
	machine := fleet.New(name, fleet.Record{Type: "big", Zone: "z"}, bigType, at)
	s.machines[name] = machine
	return machine
}

func (s *fakeShard) Emit(effect any)                     { s.effects = append(s.effects, effect) }
func (*fakeShard) Assignment() uint64                    { return 3 }
func (s *fakeShard) Machines() map[string]*fleet.Machine { return s.machines }
func (s *fakeShard) Unreconciled() map[string]bool       { return s.unreconciled }
func (*fakeShard) Types() map[string]*fleet.Type         { return map[string]*fleet.Type{"big": bigType} }
func (*fakeShard) CallRate() float64                     { return 10 }
func (*fakeShard) Staying(string) binpack.Vec            { return binpack.Vec{} }
func (*fakeShard) Replicas() map[string][]autoscaler.Replicas {
	return nil
}
func (*fakeShard) SlotsNeeded() (map[autoscaler.Group]autoscaler.Need, bool) {
	return map[autoscaler.Group]autoscaler.Need{}, true
}

func (s *fakeShard) Provisioned(_ string, _ fleet.Record, names []string) {
	s.provisioned = append(s.provisioned, names...)
}
func (s *fakeShard) Deprovisioned(machine *fleet.Machine) { delete(s.machines, machine.Name) }
func (s *fakeShard) Adopt(listed ListedMachine)           { s.adopted = append(s.adopted, listed.Name) }
func (s *fakeShard) InAnotherShard(machine string) bool   { return machine == s.elsewhere }
func listed(name string, age units.Microseconds) ListedMachine {
	return ListedMachine{Name: name, Addr: name + ":1", Age: age}
}
func failed(name string) ListedMachine { return ListedMachine{Name: name, Failed: true} }

// TestDeprovisionConditions checks each reason for which a machine is deprovisioned whatever work there
// is, and the state just before the reason applies.
func TestDeprovisionConditions(t *testing.T) {
	const now = 1000 * second
	for _, test := range []struct {
		name string
		set  func(machine *fleet.Machine)
		want bool
	}{
		{"boots in time", func(m *fleet.Machine) { m.ProvisionedAt = now - bootDeadline(m) }, false},
		{"never came up", func(m *fleet.Machine) { m.ProvisionedAt = now - bootDeadline(m) - 1 }, true},
		{"of unknown type, boots", func(m *fleet.Machine) { m.Type, m.ProvisionedAt = nil, now-unknownTypeBootDeadline }, false},
		{"of unknown type, never came up", func(m *fleet.Machine) { m.Type, m.ProvisionedAt = nil, now-unknownTypeBootDeadline-1 }, true},
		{"quarantined, not reconciled", func(m *fleet.Machine) { m.LastSeen, m.Quarantined = now, true }, false},
		{"quarantined and idle", func(m *fleet.Machine) { m.LastSeen, m.Quarantined, m.Reconciled = now, true, true }, true},
		{"lost for long", func(m *fleet.Machine) { m.Lost, m.IdleSince = true, now-lostGracePeriod-1 }, true},
		{"lost, young", func(m *fleet.Machine) {
			m.Lost, m.IdleSince, m.ProvisionedAt = true, now-lostGracePeriod, now-60*second
		}, false},
		{"on its way", func(m *fleet.Machine) { m.Deprovisioning, m.ProvisionedAt = true, 0 }, false},
	} {
		provisioner, shard := newProvisioner(t)
		machine := shard.add("n-1", now)
		test.set(machine)
		provisioner.Tick(now, false)
		if got := slices.Contains(provisioner.queue, "n-1"); got != test.want {
			t.Errorf("%s: deprovisioned %v", test.name, got)
		}
	}
}

// TestScaleInOutcomes checks the outcomes of a request to delete machines. After store.OK the machines
// must be removed and remembered as deleted. After any other outcome they must stay, and the next plan
// must try again after errorPause.
func TestScaleInOutcomes(t *testing.T) {
	provisioner, shard := newProvisioner(t)
	machine := shard.add("n-1", 0)
	provisioner.Deprovision(machine)
	provisioner.Flush()
	request := shard.effects[0].(ScaleIn)
	if !slices.Equal(request.Names, []string{"n-1"}) || request.Assignment != 3 || !machine.Deprovisioning {
		t.Fatalf("request %+v", request)
	}
	provisioner.OnScaleIn(second, request, store.Unknown)
	if machine.Deprovisioning || provisioner.Deprovisioned("n-1") || provisioner.Ready(second+errorPause-1) || !provisioner.Ready(second+errorPause) {
		t.Error("after an unknown outcome the machine must stay and calls to the cloud must pause")
	}
	provisioner.OnScaleIn(5*second, request, store.OK)
	if shard.machines["n-1"] != nil || !provisioner.Deprovisioned("n-1") {
		t.Error("after OK the machine is still recorded, or not remembered as deleted")
	}
	// The list may still show the machine and delayed
	// heartbeats may arrive, so it is remembered for a while.
	keep := 4*provisioner.cfg.ListLag + deprovisionedRetention
	provisioner.OnListMachines(5*second+keep, ListMachines{}, []ListedMachine{listed("n-1", 500*second)})
	if !provisioner.Deprovisioned("n-1") || len(shard.adopted) != 0 {
		t.Errorf("adopted %v", shard.adopted)
	}
	provisioner.OnListMachines(5*second+keep+1, ListMachines{}, nil)
	if provisioner.Deprovisioned("n-1") {
		t.Error("a deleted machine is still remembered after its retention")
	}
}

// TestScaleOutOutcomes checks that open requests are counted, that provisioned machines are added, and
// that the cloud is not called right after an unknown outcome.
func TestScaleOutOutcomes(t *testing.T) {
	provisioner, shard := newProvisioner(t)
	increase := autoscaler.Increase{Pool: autoscaler.Pool{Type: "big", Zone: "z"}, Count: fleet.MaxGroup + 1}
	provisioner.scaleOut([]autoscaler.Increase{increase})
	if len(shard.effects) != 2 || provisioner.OpenRequests() != 2 {
		t.Fatalf("%d requests", len(shard.effects))
	}
	first, rest := shard.effects[0].(ScaleOut), shard.effects[1].(ScaleOut)
	if first.Request != "r-7-1" || rest.Request != "r-7-2" || first.Increase.Count != fleet.MaxGroup || rest.Increase.Count != 1 {
		t.Errorf("requests %+v, %+v", first, rest)
	}
	provisioner.OnScaleOut(second, rest, store.OK, []string{"n-1"})
	if provisioner.OpenRequests() != 1 || !slices.Equal(shard.provisioned, []string{"n-1"}) || !provisioner.Ready(second) {
		t.Errorf("provisioned %v, %d open", shard.provisioned, provisioner.OpenRequests())
	}
	provisioner.OnScaleOut(2*second, first, store.Unknown, nil)
	if provisioner.OpenRequests() != 0 || provisioner.Ready(2*second) {
		t.Error("no pause after an unknown outcome")
	}
}

// TestMachineList has the cloud list a failed machine, a machine of another shard, one that no shard is
// known to have provisioned, and one that is too new to count as such. An unreconciled machine that is
// missing from the list though it is old enough must be marked.
func TestMachineList(t *testing.T) {
	const now = 1000 * second
	provisioner, shard := newProvisioner(t)
	known, broken := shard.add("known", 0), shard.add("broken", 0)
	absent, young := shard.add("absent", 0), shard.add("young", now-second)
	for _, name := range []string{"known", "absent", "young"} {
		shard.unreconciled[name] = true
	}
	shard.elsewhere = "elsewhere"
	old := 2*provisioner.cfg.ListLag + provisioner.cfg.AdoptAfter + 1
	provisioner.OnListMachines(now, ListMachines{SentAt: now}, []ListedMachine{listed("known", old), failed("broken"), failed("stranger"),
		listed("elsewhere", old), listed("orphan", old), listed("new", old-1)})
	if known.Addr != "known:1" || known.Unlisted || !absent.Unlisted || young.Unlisted {
		t.Errorf("known %+v; unlisted: absent %v, young %v", known, absent.Unlisted, young.Unlisted)
	}
	if !broken.Deprovisioning || !slices.Equal(provisioner.queue, []string{"broken", "stranger"}) {
		t.Errorf("to be deprovisioned: %v", provisioner.queue)
	}
	if !slices.Equal(shard.adopted, []string{"orphan"}) {
		t.Errorf("adopted %v", shard.adopted)
	}
}
