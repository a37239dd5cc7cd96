package api

import (
	"context"
	"net/http"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"shalestage.example/shalestage/internal/core"
	"shalestage.example/shalestage/internal/core/reconcile"
	"shalestage.example/shalestage/internal/core/zones"
)

// collector is a prometheus.Collector that asks the controller for its statistics at each scrape.
type collector struct{ node Node }

const (
	namespace   = "shalestage"
	metricsPath = "/metrics"
)

func desc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, labels, nil)
}

var (
	descMember         = desc("seated", "1 while the controller has a seat in the state service.")
	descLeading        = desc("leading", "1 while the controller leases blocks to the others.")
	descMemoryFull     = desc("memory_full", "1 while no new jobs are accepted, as memory is nearly full.")
	descKnownJobs      = desc("jobs_known", "Jobs in the controller's copy, final ones included.")
	descFinishedJobs   = desc("jobs_kept_done", "Jobs that are over and not packed.")
	descArchived       = desc("jobs_packed", "Packed jobs that the filter holds.")
	descLookups        = desc("buckets_read", "Buckets of packed jobs read since the start.")
	descRefusedLookups = desc("lookups_refused", "Look-ups of packed jobs refused since the start, as there were too many.")
	descActiveJobs     = desc("jobs_active", "Jobs that are not over, of all blocks.")
	descBlockedJobs    = desc("jobs_awaiting", "Jobs that wait for other jobs to be done, of all blocks.")
	descWrites         = desc("writes_waiting", "Changes that wait for the state service.")
	descTasks          = desc("block_tasks", "Tasks of a held block.", "block", "state")
	descUnreconciled   = desc("block_machines_unaccounted", "Machines of a held block on which earlier holders' tasks may run.", "block")
	descHasStandby     = desc("block_followed", "1 while another controller knows all that is started in a held block.", "block")
	descZone           = desc("zone_state", "1 for the state that a zone is in, as this controller sees it: serving, doubt, lost or back.", "zone", "state")
	descZoneStateAge   = desc("zone_state_seconds", "How long a zone has been in its state.", "zone")
	descZoneLosses     = desc("zone_times_lost", "How often a zone was lost lately.", "zone")
	descZoneMachines   = desc("zone_machines", "Machines of a zone that are up, as a holder of blocks sees them.", "zone", "heard")
	descMachines       = desc("block_machines", "Machines of a held block.", "block", "kind", "state")
	descToken          = desc("block_token", "Fencing token of a held block.", "block")
	descOwnedFor       = desc("block_held_seconds", "How long a block has been held.", "block")
	descTerm           = desc("leader_term", "Term of the stored leader, 0 without one.")
	descRevision       = desc("state_revision", "Revision of the state service up to which the controller has read.")
	descStateAge       = desc("state_age_seconds", "Time since the last successful read of the state service was sent.")
	descHeartbeats     = desc("heartbeats_admitted_total", "Heartbeats of machines of held blocks, by what they prove; stale ones are refused.", "status")
	descRefused        = desc("heartbeats_refused_total", "Heartbeats not admitted, by reason.", "reason")
	descStops          = desc("task_stops_total", "Commands that stop a task that must not run on its machine, by reason.", "reason")
	descProbeAnswers   = desc("probe_answers_total", "Answers to probes that told all tasks on a machine.")
	descCPUs           = desc("block_cpus", "CPUs of a held block's machines.", "block", "kind", "state")
)

// Describe implements prometheus.Collector.
func (c collector) Describe(results chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{descMember, descLeading, descMemoryFull, descKnownJobs, descFinishedJobs, descArchived, descLookups, descRefusedLookups, descActiveJobs, descBlockedJobs, descWrites, descTasks, descUnreconciled, descHasStandby, descZone, descZoneStateAge, descZoneLosses, descZoneMachines, descMachines, descCPUs,
		descToken, descOwnedFor, descTerm, descRevision, descStateAge, descHeartbeats, descRefused, descStops, descProbeAnswers} {
		results <- d
	}
}

// Collect implements prometheus.Collector.
func (c collector) Collect(results chan<- prometheus.Metric) {
	stats, ok := c.node.Stats(context.Background())
	if !ok {
		return // the controller is overloaded; this scrape has no statistics
	}
	put := func(d *prometheus.Desc, v float64, labels ...string) {
		results <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	flag := map[bool]float64{true: 1}
	put(descMember, flag[stats.Member])
	put(descLeading, flag[stats.Leading])
	put(descMemoryFull, flag[stats.Full])
	put(descKnownJobs, float64(stats.KnownJobs))
	put(descFinishedJobs, float64(stats.FinishedJobs))
	put(descArchived, float64(stats.ArchivedIDs))
	put(descLookups, float64(stats.ArchiveReads))
	put(descRefusedLookups, float64(stats.ArchiveShed))
	put(descActiveJobs, float64(stats.ActiveJobs))
	put(descBlockedJobs, float64(stats.BlockedJobs))
	put(descWrites, float64(stats.Writes))
	put(descTerm, float64(stats.Term))
	put(descRevision, float64(stats.Revision))
	put(descStateAge, stats.StateAge.Seconds())
	collectHeartbeats(results, &stats.Heartbeats)
	for _, z := range stats.Zones {
		for _, st := range zones.States {
			put(descZone, flag[z.State == st], z.Zone, st.String())
		}
		put(descZoneStateAge, z.For.Seconds(), z.Zone)
		put(descZoneLosses, float64(z.Times), z.Zone)
		put(descZoneMachines, float64(z.Responsive), z.Zone, "yes")
		put(descZoneMachines, float64(z.Up-z.Responsive), z.Zone, "no")
	}
	for _, b := range stats.Shards {
		n := strconv.Itoa(b.Shard)
		put(descTasks, float64(b.Waiting), n, "waiting")
		put(descTasks, float64(b.Placed), n, "placed")
		put(descUnreconciled, float64(b.Unreconciled), n)
		put(descToken, float64(b.FencingToken), n)
		put(descOwnedFor, b.OwnedFor.Seconds(), n)
		put(descHasStandby, flag[b.Standby != ""], n)
		for _, p := range []struct {
			kind string
			core.PoolStats
		}{{"ordinary", b.Ordinary}, {"spot", b.Spot}} {
			put(descMachines, float64(p.Booting), n, p.kind, "booting")
			put(descMachines, float64(p.Idle), n, p.kind, "idle")
			put(descMachines, float64(p.Machines-p.Booting-p.Idle), n, p.kind, "busy")
			put(descCPUs, float64(p.UsedCPUs), n, p.kind, "used")
			put(descCPUs, float64(p.CPUs-p.UsedCPUs), n, p.kind, "free")
		}
	}
}

// collectHeartbeats collects the counters of answers to heartbeats and probes.
func collectHeartbeats(results chan<- prometheus.Metric, counters *reconcile.Counters) {
	count := func(d *prometheus.Desc, n uint64, labels ...string) {
		results <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(n), labels...)
	}
	for _, status := range reconcile.HeartbeatStatuses {
		count(descHeartbeats, counters.Admitted[status], status.String())
	}
	for _, refusal := range reconcile.Refusals {
		count(descRefused, counters.Refused[refusal], refusal.String())
	}
	for _, reason := range reconcile.StopReasons {
		count(descStops, counters.Stops[reason], reason.String())
	}
	count(descProbeAnswers, counters.ProbeAnswers)
}

// metrics returns the handler of the Prometheus metrics: the controller's, the process's and the extra ones.
func metrics(n Node, extra ...prometheus.Collector) http.Handler {
	r := prometheus.NewRegistry()
	r.MustRegister(collector{n}, collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	r.MustRegister(extra...)
	return promhttp.HandlerFor(r, promhttp.HandlerOpts{MaxRequestsInFlight: 1})
}
