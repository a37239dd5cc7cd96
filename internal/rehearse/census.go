package rehearse

import (
	"encoding/csv"
	"io"
	"strconv"

	"shalestage.example/shalestage/internal/emulator/sim"
)

// folders are the key folders of the state service that a census counts, one column each. Folders of
// short-lived keys are left out.
var folders = []string{"shalestage/job", "shalestage/part", "shalestage/progress", "shalestage/machine", "shalestage/type", "shalestage/kind",
	"shalestage/seat", "shalestage/block", "shalestage/share", "shalestage", "shalestage-past"}

// WriteCensus returns a function that writes each census as a line of CSV: the time in seconds, the number of
// keys by folder, the maximum of each figure over the controllers, and totals of the machines and tasks.
func WriteCensus(w io.Writer) func(sim.Census) {
	out := csv.NewWriter(w)
	head := append([]string{"at_s"}, folders...)
	_ = out.Write(append(head, "jobs_in_memory", "keys_in_memory", "kept_done", "packed", "buckets_read", "lookups_refused", "heap_mb",
		"machines", "tasks_waiting", "tasks_placed", "tasks_started"))
	return func(census sim.Census) {
		line := []string{strconv.FormatFloat(census.At.Seconds(), 'f', 0, 64)}
		for _, f := range folders {
			line = append(line, strconv.Itoa(census.Keys[f]))
		}
		var jobs, keys, kept, packed int
		var read, shed uint64
		for _, n := range census.Nodes {
			jobs, keys, kept, packed = max(jobs, n.KnownJobs), max(keys, n.Keys), max(kept, n.FinishedJobs), max(packed, n.ArchivedIDs)
			read, shed = max(read, n.ArchiveReads), max(shed, n.ArchiveShed)
		}
		for _, n := range []int{jobs, keys, kept, packed, int(read), int(shed)} {
			line = append(line, strconv.Itoa(n))
		}
		line = append(line, strconv.FormatFloat(census.HeapMB, 'f', 0, 64))
		for _, n := range fleetOf(census) {
			line = append(line, strconv.Itoa(n))
		}
		_ = out.Write(line)
		out.Flush() // the file of a long run is read while the run goes on
	}
}

// fleetOf adds up the figures of the shard owners: machines that send heartbeats, waiting tasks, placed
// tasks, and tasks started under their current shard owner.
func fleetOf(c sim.Census) [4]int {
	var sum [4]int
	for _, n := range c.Nodes {
		for _, b := range n.Shards {
			sum[0] += b.Ordinary.Machines - b.Ordinary.Booting + b.Spot.Machines - b.Spot.Booting
			sum[1] += b.Waiting
			sum[2] += b.Placed
			sum[3] += int(b.Started)
		}
	}
	return sum
}
