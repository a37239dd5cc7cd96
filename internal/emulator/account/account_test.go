package account_test

import (
	"math"
	"testing"

	"shalestage.example/shalestage/internal/emulator/account"
	"shalestage.example/shalestage/internal/emulator/sim"
	"shalestage.example/shalestage/internal/scenario"
)

// TestAccountMatchesBill guards against costs that are booked twice or not at all: in a scenario with
// failed and reclaimed machines the account must match the cloud's bill.
func TestAccountMatchesBill(t *testing.T) {
	sum := accountFor(t, "spot-wave.toml")
	if sum.Spent[account.Useful] <= 0 || sum.Spent[account.Boot] <= 0 || sum.Spent[account.Lost] <= 0 {
		t.Errorf("%+v", sum)
	}
}

// TestAccountOfPartitionedZone guards against booking unreachable machines as ordinary empty ones:
// their cost has a use of its own.
func TestAccountOfPartitionedZone(t *testing.T) {
	if sum := accountFor(t, "zone-twice.toml"); sum.Spent[account.CutEmpty] <= 0 {
		t.Errorf("%+v", sum)
	}
}

// accountFor runs a scenario, compares its account with the bill, and returns the sum of the account.
func accountFor(t *testing.T, file string) account.Row {
	t.Helper()
	s, err := scenario.Load("../../../rehearsals/" + file)
	if err != nil {
		t.Fatal(err)
	}
	a := account.New()
	r := sim.New(s, sim.Options{Seed: 3, Account: a}).RunScenario()
	sum := account.Sum(a.Rows())
	if sum.Machines != r.MachinesCreated || math.Abs(sum.Total()-r.Cost) > 0.02*r.Cost {
		t.Errorf("%d machines for %.4f, the bill says %d for %.4f", sum.Machines, sum.Total(), r.MachinesCreated, r.Cost)
	}
	for u, v := range sum.Spent {
		if v < -1e-9 {
			t.Errorf("%s: %f", account.Names[u], v)
		}
	}
	return sum
}
