package sim

import (
	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/emulator/account"
	"shalestage.example/shalestage/internal/emulator/meter"
	"shalestage.example/shalestage/internal/emulator/user"
)

// meter hands what a user did or was told to the meter.
func (w *World) meter(e any) {
	m := w.opt.Meter
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

// measure looks at the machines again and again.
func (w *World) measure() {
	if w.opt.Meter == nil || w.opt.MeterEvery <= 0 {
		return
	}
	w.after(w.opt.MeterEvery, func() {
		w.opt.Meter.AddSample(w.look())
		w.measure()
	})
}

// keepAccount looks at what is paid for, again and again.
func (w *World) keepAccount() {
	if w.opt.Account == nil {
		return
	}
	w.after(account.Interval, func() {
		var list []account.Machine
		for _, m := range w.Site.Cloud.Billed() {
			x := account.Machine{Machine: m, Cut: w.now < w.zoneCut[m.Zone], CPUs: w.Site.CPUs(m), Rate: w.Site.Cloud.HourlyRate(m)}
			if k := w.Site.Worker(m.Name); k != nil {
				running, fetching := k.Usage()
				x.Up, x.Running, x.Fetching = true, cpus(running), cpus(fetching)
			}
			list = append(list, x)
		}
		w.opt.Account.Observe(w.now, list)
		w.keepAccount()
	})
}

func cpus(v binpack.Vec) float64 { return float64(v[binpack.CPU]) / 1000 }

// look counts the CPUs that are rented, and what they do.
func (w *World) look() meter.Sample {
	s := meter.Sample{AtS: w.now.Seconds()}
	for _, m := range w.Site.Cloud.Billed() {
		c := w.Site.CPUs(m)
		s.Rented += c
		if k := w.Site.Worker(m.Name); k != nil {
			running, fetching := k.Usage()
			s.Running += cpus(running)
			s.Fetching += cpus(fetching)
		} else {
			s.Booting += c
		}
	}
	return s
}

// Cheapest is the lowest price of a CPU for an hour that the cloud's list ever names.
func (w *World) Cheapest() float64 {
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
