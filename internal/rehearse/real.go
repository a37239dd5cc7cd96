package rehearse

import (
	"fmt"
	"time"

	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/user"
	"shalestage.example/shalestage/internal/launch"
	"shalestage.example/shalestage/internal/scenario"
)

// startTimeout bounds the time until a deployment serves requests.
const startTimeout = 30 * time.Second

// RunProcesses runs a scenario with real processes over loopback, in real time.
func RunProcesses(file string, s *scenario.Scenario) (Verdict, error) {
	startTime := time.Now()
	v := Verdict{File: file, Name: s.Name, Seed: s.Seed, Real: true, Faults: s.Faults}
	d, err := launch.Start(launch.Options{Scenario: file})
	if err != nil {
		return v, err
	}
	defer d.Stop()
	if err := d.WaitServing(startTimeout); err != nil {
		return v, err
	}
	jobs := d.Run()
	lastFaultEnd := 0.0 // the run does not end before the last fault
	for _, f := range s.Faults {
		lastFaultEnd = max(lastFaultEnd, f.AtS+f.ForS)
	}
	runStart := time.Now()
	for until := runStart.Add(time.Duration(s.DurationS * float64(time.Second))); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		if p := d.Progress(); p.Left == 0 && time.Since(runStart).Seconds() > lastFaultEnd || len(p.Broken) > 0 {
			break
		}
		select {
		case err := <-d.Fatal:
			return v, err
		default:
		}
	}
	violations, starts := d.Finish(s.Expect.AllOver)
	v.Violations, v.Starts = violationsOf(violations), starts
	figures, err := d.Figures()
	if err != nil {
		return v, fmt.Errorf("read figures of the cloud: %w", err)
	}
	v.Cost = figures.Money
	var longest units.Microseconds
	v.Jobs = len(jobs)
	v.FinishedJobs, longest = user.Summary(jobs, units.Seconds(s.DurationS))
	v.Wait = longest.Seconds()
	v.Missed = s.Expect.Missed(longest, v.Cost, user.Floor(jobs, s.UserOptions(), d.FirstBegan))
	v.Passed = len(v.Violations) == 0 && len(v.Missed) == 0
	v.DurationS = time.Since(startTime).Seconds()
	return v, nil
}
