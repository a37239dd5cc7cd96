package rehearse

import (
	"fmt"
	"testing"

	"shalestage.example/shalestage/internal/emulator/sim"
	"shalestage.example/shalestage/internal/scenario"
)

// TestHandoverOfDeletedMachinesEnds guards against controllers that pass the shard of deleted machines on to each
// other for ever, so that no owner sees the machines' leases expire: the tasks on them never ran again with five
// controllers and a lease of 31 s.
func TestHandoverOfDeletedMachinesEnds(t *testing.T) {
	for _, count := range []int{2, 3, 5, 12} {
		for _, lease := range []float64{13, 31, 200} {
			for _, silent := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d controllers, lease %.0f s, silent %v", count, lease, silent), func(t *testing.T) {
					t.Parallel()
					testDeletedMachines(t, count, lease, silent)
				})
			}
		}
	}
}

// testDeletedMachines deletes all machines of a deployment. silent means that the controllers receive nothing
// from each other.
//
// The bound holds for any number of controllers and any lease: the first owner waits for two heartbeats, one
// more controller tries, or each once if they are silent, and the leases expire under the last one.
func testDeletedMachines(t *testing.T, count int, lease float64, silent bool) {
	t.Helper()
	const file = "../../rehearsals/all-taken.toml"
	const takenAtS, transferS = 40, 3
	deployment, err := scenario.Load(file)
	if err != nil {
		t.Fatal(err)
	}
	deployment.Controllers.Count = count
	workers := &deployment.Workers
	workers.LeaseS, workers.CancelS = lease, 2*lease
	deployment.Faults[0].AtS, deployment.Faults[0].AtToS = takenAtS, 0
	owners := 2.0
	if silent {
		owners = float64(count)
		for i := range count {
			deployment.Faults = append(deployment.Faults, scenario.Fault{Kind: scenario.Cut, AtS: takenAtS - 1, ForS: 1000, Mode: "drop",
				Between: []string{fmt.Sprintf("node-%d", i), scenario.PartyPeers}})
		}
	}
	boots := 6 * deployment.Types[0].BootS // some machines take several times as long as usual
	deployment.Expect.MaxWaitS = takenAtS + owners*(2*workers.ReportS+1+transferS) + lease + boots + deployment.Jobs[0].RunS + deployment.Users.PollS
	deployment.DurationS = deployment.Expect.MaxWaitS + 100
	for seed := range uint64(3) {
		verdict := Simulate(file, deployment, sim.Options{Seed: seed + 1})
		if !verdict.Passed {
			t.Errorf("seed %d: %v %v", seed+1, verdict.Violations, verdict.Missed)
		}
	}
}
