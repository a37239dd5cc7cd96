package sim

import (
	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/emulator/account"
	"shalestage.example/shalestage/internal/emulator/meter"
	"shalestage.example/shalestage/internal/emulator/user"
)

// reportToMeter passes an event of a user to the meter.
func (w *World) reportToMeter(e any) {
	m := w.options.Meter
	if m == nil {
		return
	}
	switch e := e.(type) {
	case user.SubmissionStarted:
		m.SubmissionStarted(w.now, e.Job)
	case user.CancelRequested:
		m.CancelRequested(e.ID)
	case user.CallFinished:
		m.CallFinished(e)
	}
}

// scheduleMeter samples the machines every MeterInterval.
func (w *World) scheduleMeter() {
	if w.options.Meter == nil || w.options.MeterInterval <= 0 {
		return
	}
	w.schedule(w.options.MeterInterval, func() {
		w.options.Meter.AddSample(w.sampleCPUs())
		w.scheduleMeter()
	})
}

// scheduleAccount reports the billed machines to the account every account.Interval.
func (w *World) scheduleAccount() {
	if w.options.Account == nil {
		return
	}
	w.schedule(account.Interval, func() {
		var list []account.Machine
		for _, m := range w.Site.Cloud.Billed() {
			x := account.Machine{Machine: m, Cut: w.now < w.zoneCutUntil[m.Zone], CPUs: w.Site.CPUs(m), Rate: w.Site.Cloud.HourlyRate(m)}
			if worker := w.Site.Worker(m.Name); worker != nil {
				running, fetching := worker.Usage()
				x.Up, x.Running, x.Fetching = true, cpus(running), cpus(fetching)
			}
			list = append(list, x)
		}
		w.options.Account.Observe(w.now, list)
		w.scheduleAccount()
	})
}

// cpus returns the CPUs of a resource vector.
func cpus(v binpack.Vec) float64 { return float64(v[binpack.CPU]) / 1000 }

// sampleCPUs counts the CPUs of billed machines and how they are used.
func (w *World) sampleCPUs() meter.Sample {
	s := meter.Sample{AtS: w.now.Seconds()}
	for _, m := range w.Site.Cloud.Billed() {
		c := w.Site.CPUs(m)
		s.Rented += c
		if worker := w.Site.Worker(m.Name); worker != nil {
			running, fetching := worker.Usage()
			s.Running += cpus(running)
			s.Fetching += cpus(fetching)
		} else {
			s.Booting += c
		}
	}
	return s
}

// LowestCPUPrice returns the lowest price of one CPU for an hour among all machine types, on demand or spot.
func (w *World) LowestCPUPrice() float64 {
	least := 0.0
	for _, t := range w.Site.Cloud.Config().Types {
		for _, p := range []float64{t.Price, t.SpotPrice} {
			if c := p / t.CPUs; p > 0 && (least == 0 || c < least) {
				least = c
			}
		}
	}
	return least
}
