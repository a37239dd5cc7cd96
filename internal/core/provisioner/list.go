package provisioner

import (
	"shalestage.example/shalestage/internal/core/units"
)

// OnListMachines takes the machine list. It may be old: it proves only that a machine exists or has
// failed, never that one is absent.
func (r *Provisioner) OnListMachines(now units.Microseconds, request ListMachines, list []ListedMachine) {
	r.now = now
	for name, at := range r.deprovisioned {
		if now-at > 4*r.cfg.ListLag+deprovisionedRetention {
			delete(r.deprovisioned, name)
		}
	}
	r.markUnlisted(request.SentAt, list)
	for _, listed := range list {
		if !r.Deprovisioned(listed.Name) {
			r.handleListed(listed)
		}
	}
}

// handleListed takes in a machine of the list that is not known to be deleted.
func (r *Provisioner) handleListed(listed ListedMachine) {
	machine := r.host.Machines()[listed.Name]
	if machine != nil && machine.Addr == "" {
		machine.Addr = listed.Addr
	}
	if r.host.InAnotherShard(listed.Name) {
		return // its owner finds out by itself when it fails
	}
	switch {
	case listed.Failed && machine == nil:
		r.queue = append(r.queue, listed.Name)
	case listed.Failed:
		if !machine.Deprovisioning {
			r.Deprovision(machine)
		}
	case machine == nil && r.orphaned(listed):
		// Provisioned by a request that was carried out late, or whose answer was lost. Adopted: the
		// next plan uses it or gives it back.
		r.host.Adopt(listed)
		r.cfg.Log.Info("machine adopted", "machine", listed.Name)
	}
}

// orphaned reports whether a machine that is not known has been there for so long that whoever
// provisioned it would have stored it.
func (r *Provisioner) orphaned(listed ListedMachine) bool {
	return listed.Age > 2*r.cfg.ListLag+r.cfg.AdoptAfter && r.now-r.cfg.OwnedSince > 2*r.cfg.ListLag
}

// markUnlisted notes which unreconciled machines a list does not show, though they were provisioned
// long before all that it may leave out. They are most likely deleted. That is no proof; see
// package liveness.
func (r *Provisioner) markUnlisted(sentAt units.Microseconds, list []ListedMachine) {
	unreconciled := r.host.Unreconciled()
	if len(unreconciled) == 0 {
		return // no work waits for any
	}
	shown := make(map[string]bool, len(list))
	for _, listed := range list {
		shown[listed.Name] = true
	}
	machines := r.host.Machines()
	for name := range unreconciled {
		if machine := machines[name]; machine != nil {
			machine.Unlisted = !shown[name] && machine.ProvisionedAt < sentAt-2*r.cfg.ListLag-r.cfg.AdoptAfter
		}
	}
}
