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
func RunProcesses(file string, spec *scenario.Scenario) (Verdict, error) {
	startTime := time.Now()
	verdict := Verdict{File: file, Name: spec.Name, Seed: spec.Seed, Real: true, Faults: spec.Faults}
	deployment, err := launch.Start(launch.Options{Scenario: file})
	if err != nil {
		return verdict, err
	}
	defer deployment.Stop()
	if err := deployment.WaitServing(startTimeout); err != nil {
		return verdict, err
	}
	jobs := deployment.Run()
	lastFaultEnd := 0.0 // the run does not end before the last fault
	for _, f := range spec.Faults {
		lastFaultEnd = max(lastFaultEnd, f.AtS+f.ForS)
	}
	runStart := time.Now()
	for until := runStart.Add(time.Duration(spec.DurationS * float64(time.Second))); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		if p := deployment.Progress(); p.Left == 0 && time.Since(runStart).Seconds() > lastFaultEnd || len(p.Broken) > 0 {
			break
		}
		select {
		case err := <-deployment.Fatal:
			return verdict, err
		default:
		}
	}
	violations, starts := deployment.Finish(spec.Expect.AllOver)
	verdict.Violations, verdict.Starts = violationsOf(violations), starts
	figures, err := deployment.Figures()
	if err != nil {
		return verdict, fmt.Errorf("read figures of the cloud: %w", err)
	}
	verdict.Cost = figures.Money
	var longest units.Microseconds
	verdict.Jobs = len(jobs)
	verdict.FinishedJobs, longest = user.Summary(jobs, units.Seconds(spec.DurationS))
	verdict.Wait = longest.Seconds()
	verdict.Missed = spec.Expect.Missed(longest, verdict.Cost, user.ServiceLevels(jobs, spec.UserOptions(), deployment.FirstBegan))
	verdict.Passed = len(verdict.Violations) == 0 && len(verdict.Missed) == 0
	verdict.DurationS = time.Since(startTime).Seconds()
	return verdict, nil
}
