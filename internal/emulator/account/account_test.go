package account_test

import (
	"math"
	"testing"

	"shalestage.example/shalestage/internal/emulator/account"
	"shalestage.example/shalestage/internal/emulator/sim"
	"shalestage.example/shalestage/internal/scenario"
)

// TestAccountAddsUp plays a scenario with machines that are lost and taken, and holds the
// account against the cloud's own bill: all money is somewhere, and none twice.
func TestAccountAddsUp(t *testing.T) {
	sum := adds(t, "spot-wave.toml")
	if sum.Spent[account.Useful] <= 0 || sum.Spent[account.Boot] <= 0 || sum.Spent[account.Lost] <= 0 {
		t.Errorf("%+v", sum)
	}
}

// TestAccountOfALostZone has the money of machines that nobody reaches stand by itself.
func TestAccountOfALostZone(t *testing.T) {
	if sum := adds(t, "zone-twice.toml"); sum.Spent[account.CutEmpty] <= 0 {
		t.Errorf("%+v", sum)
	}
}

func adds(t *testing.T, file string) account.Row {
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
