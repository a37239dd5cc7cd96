package sim

import (
	"strings"
	"testing"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/keys"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/kv"
	"shalestage.example/shalestage/internal/emulator/user"
)

// machinesByShard returns the stored machines that are up, by shard.
func (w *World) machinesByShard(t *testing.T) map[int]map[string]bool {
	t.Helper()
	byShard := map[int]map[string]bool{}
	w.State.ForEach(func(item kv.Item) {
		request, ok := strings.CutPrefix(item.Key, keys.MachinePrefix)
		if !ok {
			return
		}
		group, err := fleet.DecodeGroup(request, item.Value)
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range group.Up {
			if byShard[group.Shard] == nil {
				byShard[group.Shard] = map[string]bool{}
			}
			byShard[group.Shard][name] = true
		}
	})
	return byShard
}

// TestShardOfDeletedMachinesBesideOthers guards against tasks that never run again because the shard of their deleted
// machines passes from controller to controller, while workers of other shards reach all of those: contact by these says
// nothing about the shard.
func TestShardOfDeletedMachinesBesideOthers(t *testing.T) {
	t.Parallel()
	const killedAt = 60 * second
	for seed := range uint64(4) {
		w := New(deployment(5, 2), Options{Seed: seed + 1})
		var submitted []*user.Job
		for i := range 10 {
			spec := &jobs.Spec{Class: "x", Team: "green", Priority: jobs.Normal, Tasks: 4, Demand: binpack.Vec{4000, 0, 4000}, AnyType: true, Image: "i", Estimate: 90 * second}
			submitted = append(submitted, w.submitJob(units.Microseconds(i+1)*second, spec, 90*second, 0))
		}
		w.Run(killedAt)
		shards, killed := w.machinesByShard(t), 0
		for number := range 5 {
			if number > 0 && len(shards[number]) > 0 && killed == 0 {
				for _, machine := range w.aliveMachines() {
					if shards[number][machine.Name] {
						w.Site.Kill(w.now, machine)
						killed++
					}
				}
			}
		}
		if killed == 0 {
			t.Errorf("seed %d: no machine of a later shard is up, %v", seed+1, shards)
		}
		// Two heartbeats, another owner, a lease, a boot and the run time; jobs may have to wait for a machine's room once.
		w.Run(killedAt + 15*second + lease + 30*second + 2*90*second)
		for _, job := range submitted {
			if job.FinalStatus != jobs.Done {
				t.Errorf("seed %d: %s has status %q", seed+1, job.ID, job.FinalStatus)
			}
		}
		for _, violation := range w.Check.Violations() {
			t.Errorf("seed %d: %s", seed+1, violation)
		}
	}
}
