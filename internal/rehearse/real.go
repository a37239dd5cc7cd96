package rehearse

import (
	"fmt"
	"time"

	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/user"
	"shalestage.example/shalestage/internal/launch"
	"shalestage.example/shalestage/internal/scenario"
)

// servesWithin bounds how long a deployment may take until it serves.
const servesWithin = 30 * time.Second

// RunProcesses plays a scenario with real processes over loopback, in real time.
func RunProcesses(file string, s *scenario.Scenario) (Verdict, error) {
	began := time.Now()
	v := Verdict{File: file, Name: s.Name, Seed: s.Seed, Real: true, Faults: s.Faults}
	d, err := launch.Start(launch.Options{Scenario: file})
	if err != nil {
		return v, err
	}
	defer d.Stop()
	if err := d.WaitServing(servesWithin); err != nil {
		return v, err
	}
	jobs := d.Run()
	last := 0.0 // nothing is over before the last fault
	for _, f := range s.Faults {
		last = max(last, f.AtS+f.ForS)
	}
	played := time.Now()
	for until := played.Add(time.Duration(s.DurationS * float64(time.Second))); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		if p := d.Progress(); p.Left == 0 && time.Since(played).Seconds() > last || len(p.Broken) > 0 {
			break
		}
		select {
		case err := <-d.Fatal:
			return v, err
		default:
		}
	}
	broken, starts := d.Finish(s.Expect.AllOver)
	v.Violations, v.Starts = violationsOf(broken), starts
	figures, err := d.Figures()
	if err != nil {
		return v, fmt.Errorf("the cloud tells no figures: %w", err)
	}
	v.Cost = figures.Money
	var longest units.Microseconds
	v.Jobs = len(jobs)
	v.FinishedJobs, longest = user.Summary(jobs, units.Seconds(s.DurationS))
	v.Wait = longest.Seconds()
	v.Missed = s.Expect.Missed(longest, v.Cost, user.Floor(jobs, s.UserOptions(), d.FirstBegan))
	v.Passed = len(v.Violations) == 0 && len(v.Missed) == 0
	v.DurationS = time.Since(began).Seconds()
	return v, nil
}
