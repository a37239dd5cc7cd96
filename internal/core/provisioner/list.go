package provisioner

import (
	"shalestage.example/shalestage/internal/core/units"
)

// OnListMachines processes the cloud's machine list. The list may be out of date: it proves only that a
// machine exists or has failed, never that a machine is absent.
func (p *Provisioner) OnListMachines(now units.Microseconds, request ListMachines, list []ListedMachine) {
	p.now = now
	for name, at := range p.deprovisioned {
		if now-at > 4*p.cfg.ListLag+deprovisionedRetention {
			delete(p.deprovisioned, name)
		}
	}
	p.markUnlisted(request.SentAt, list)
	for _, listed := range list {
		if !p.Deprovisioned(listed.Name) {
			p.handleListed(listed)
		}
	}
}

// handleListed processes a listed machine that is not known to be deleted.
func (p *Provisioner) handleListed(listed ListedMachine) {
	machine := p.host.Machines()[listed.Name]
	if machine != nil && machine.Addr == "" {
		machine.Addr = listed.Addr
	}
	if p.host.InAnotherShard(listed.Name) {
		return // the owner of that shard detects the failure itself, without the list
	}
	switch {
	case listed.Failed && machine == nil:
		p.queue = append(p.queue, listed.Name)
	case listed.Failed:
		if !machine.Deprovisioning {
			p.Deprovision(machine)
		}
	case machine == nil && p.orphaned(listed):
		// The machine was provisioned by a request that was carried out late or whose answer was lost.
		// The next plan either uses it or deprovisions it.
		p.host.Adopt(listed)
		p.cfg.Log.Info("machine adopted", "machine", listed.Name)
	}
}

// orphaned reports whether an unknown machine has existed for so long that the shard that provisioned it
// would have stored it by now.
func (p *Provisioner) orphaned(listed ListedMachine) bool {
	return listed.Age > 2*p.cfg.ListLag+p.cfg.AdoptAfter && p.now-p.cfg.OwnedSince > 2*p.cfg.ListLag
}

// markUnlisted marks the unreconciled machines that a list lacks although they were provisioned early
// enough to be on it, given its lag. They have most likely been deleted, which the list alone does not
// prove; package liveness decides about them.
func (p *Provisioner) markUnlisted(sentAt units.Microseconds, list []ListedMachine) {
	unreconciled := p.host.Unreconciled()
	if len(unreconciled) == 0 {
		return // no work waits for a machine to be reconciled
	}
	listedNames := make(map[string]bool, len(list))
	for _, listed := range list {
		listedNames[listed.Name] = true
	}
	machines := p.host.Machines()
	for name := range unreconciled {
		if machine := machines[name]; machine != nil {
			machine.Unlisted = !listedNames[name] && machine.ProvisionedAt < sentAt-2*p.cfg.ListLag-p.cfg.AdoptAfter
		}
	}
}
