// Package introspect answers operators' questions: what there is and what it does (Stats), why a
// job waits (Explain), and whether everything in the state service should be there (Inspector).
// It reads what other packages own, and changes nothing.
package introspect

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"shalestage.example/shalestage/internal/core/archive"
	"shalestage.example/shalestage/internal/core/authority"
	"shalestage.example/shalestage/internal/core/chunks"
	"shalestage.example/shalestage/internal/core/configuration"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/keys"
	"shalestage.example/shalestage/internal/core/replication"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/zones"
)

// Finding is something in the state service that should not be there, or not so.
type Finding struct {
	Kind string `json:"kind"` // see docs/backup.md
	Key  string `json:"key"`
	Text string `json:"text"`
	// Clear are guarded changes that are safe at any time; none: it is for an operator
	// to judge.
	Clear *store.Write `json:"-"`
	Fix   bool         `json:"can_be_cleared,omitempty"`
}

// Inspector audits every key of a state service, those under keys.Root first and the archive's
// buckets after them. Its memory grows with unfinished work and what is kept, and by a few bytes
// with each bucket.
type Inspector struct {
	found       []Finding
	keyCounts   map[string]int // by folder
	jobs        map[string]jobSummary
	chunks      map[string][]store.Event // by job
	progress    map[string][]store.Event // by job
	members     map[string]uint64        // version of each member's record
	assignments map[int]store.Event
	groups      []store.Event
	types       []store.Event
	awaited     map[string][]string // ids that are awaited and have no record, by whom
	mark        *archive.Mark
	bucketBits  map[uint32]int // depth of each bucket
	archived    int            // jobs
}

// jobSummary is what counts of a job's record.
type jobSummary struct {
	status  jobs.Status
	version uint64
	chunks  int
	sum     string
}

// overrideRecord is an operator's override for a zone, as stored.
type overrideRecord struct {
	Word zones.Override `json:"word"`
}

// NewInspector returns one that has seen nothing.
func NewInspector() *Inspector {
	return &Inspector{
		keyCounts:   map[string]int{},
		jobs:        map[string]jobSummary{},
		chunks:      map[string][]store.Event{},
		progress:    map[string][]store.Event{},
		members:     map[string]uint64{},
		assignments: map[int]store.Event{},
		awaited:     map[string][]string{},
		bucketBits:  map[uint32]int{},
	}
}

// find notes a finding; clear is nil where it is for an operator to judge.
func (s *Inspector) find(kind, key string, clear *store.Write, format string, args ...any) {
	s.found = append(s.found, Finding{Kind: kind, Key: key, Text: fmt.Sprintf(format, args...), Clear: clear, Fix: clear != nil})
}

// Inspect takes a key under keys.Root.
func (s *Inspector) Inspect(e store.Event) {
	folder, rest, _ := strings.Cut(strings.TrimPrefix(e.Key, keys.Root), "/")
	s.keyCounts[keys.Root+folder]++
	known, err := s.inspectWork(e, rest)
	if !known {
		known, err = s.inspectAuthority(e, rest)
	}
	if !known {
		s.find("foreign", e.Key, nil, "no release of this program writes such a key")
	}
	if err != nil {
		s.find("unreadable", e.Key, nil, "cannot be read: %v", err)
	}
}

// inspectWork takes a key of jobs, machines and archived jobs, and reports whether it is one.
func (s *Inspector) inspectWork(event store.Event, rest string) (known bool, err error) {
	id, _, _ := strings.Cut(rest, "/")
	seen := store.Event{Key: event.Key, Stamp: event.Stamp} // without its value
	switch {
	case strings.HasPrefix(event.Key, keys.JobPrefix):
		err = s.inspectJob(event)
	case strings.HasPrefix(event.Key, keys.ChunkPrefix):
		s.chunks[id] = append(s.chunks[id], seen)
		_, err = jobs.ChunkText(event.Value)
	case strings.HasPrefix(event.Key, keys.ProgressPrefix):
		s.progress[id] = append(s.progress[id], seen)
		err = json.Unmarshal(event.Value, &jobs.Progress{})
	case strings.HasPrefix(event.Key, keys.MachinePrefix):
		s.groups = append(s.groups, event)
	case strings.HasPrefix(event.Key, keys.TypePrefix), strings.HasPrefix(event.Key, keys.TypePrefixWithArchive):
		s.types = append(s.types, seen)
		err = json.Unmarshal(event.Value, &fleet.Type{})
	case event.Key == keys.ArchiveMark:
		s.mark = &archive.Mark{}
		err = json.Unmarshal(event.Value, s.mark)
	default:
		return false, nil
	}
	return true, err
}

// inspectAuthority takes a key of controllers and operators, and reports whether it is one.
func (s *Inspector) inspectAuthority(event store.Event, rest string) (known bool, err error) {
	switch {
	case strings.HasPrefix(event.Key, keys.MemberPrefix):
		s.members[rest] = event.Stamp
		err = json.Unmarshal(event.Value, &authority.Member{})
	case strings.HasPrefix(event.Key, keys.AssignmentPrefix):
		var shard int
		if shard, err = keys.Shard(event.Key, keys.AssignmentPrefix); err == nil {
			s.assignments[shard] = event
		}
	case strings.HasPrefix(event.Key, keys.ConfigPrefix):
		err = configuration.CheckRecord(event.Key, event.Value)
	case strings.HasPrefix(event.Key, keys.OverridePrefix):
		err = json.Unmarshal(event.Value, &overrideRecord{})
	case strings.HasPrefix(event.Key, keys.StandbyPrefix):
		err = json.Unmarshal(event.Value, &replication.Record{})
	case strings.HasPrefix(event.Key, keys.AllocationPrefix):
		err = json.Unmarshal(event.Value, &authority.QuotaAllocation{})
	case event.Key == keys.Leader || event.Key == keys.LeaderSinceArchive:
		err = json.Unmarshal(event.Value, &authority.LeaderRecord{})
	case event.Key == keys.Term:
		err = json.Unmarshal(event.Value, &authority.Term{})
	default:
		return false, nil
	}
	return true, err
}

func (s *Inspector) inspectJob(e store.Event) error {
	id := e.Key[len(keys.JobPrefix):]
	record, err := jobs.DecodeRecord(e.Value)
	if err != nil {
		s.jobs[id] = jobSummary{status: jobs.Pending, version: e.Stamp} // its chunks and progress stay
		return err
	}
	s.jobs[id] = jobSummary{status: record.Status, version: e.Stamp, chunks: record.Chunks, sum: record.Checksum}
	if record.Spec != nil && !record.Status.Final() {
		for _, awaited := range record.Spec.Awaits {
			s.awaited[awaited] = append(s.awaited[awaited], id)
		}
	}
	return nil
}

// InspectBucket takes a key of archived jobs.
func (s *Inspector) InspectBucket(e store.Event) {
	s.keyCounts[strings.TrimSuffix(archive.Prefix, "/")]++
	bucket, err := archive.Decode(e.Key, e.Value)
	if err != nil {
		s.find("unreadable", e.Key, nil, "archived jobs that cannot be read: %v", err)
		return
	}
	s.bucketBits[bucket.Number] = bucket.Depth
	s.archived += len(bucket.Jobs)
	for id := range bucket.IDs() {
		if job, ok := s.jobs[id]; ok && !job.status.Final() {
			s.find("twice", keys.Job(id), nil, "is archived as over, and its record calls it %s", job.status)
		}
		delete(s.awaited, id)
	}
}

// Keys returns how many keys there are by folder, and how many jobs are archived.
func (s *Inspector) Keys() (counts map[string]int, archived int) { return s.keyCounts, s.archived }

// Machines returns the record of each machine that has one.
func (s *Inspector) Machines() map[string]string {
	records := map[string]string{}
	for _, e := range s.groups {
		group, err := fleet.DecodeGroup(e.Key[len(keys.MachinePrefix):], e.Value)
		if err != nil {
			continue // Findings has it as unreadable
		}
		for _, name := range slices.Concat(group.Up, group.Booting) {
			records[name] = e.Key
		}
	}
	return records
}

// Findings returns what was found once every key was inspected.
func (s *Inspector) Findings() []Finding {
	s.auditDependencies()
	s.auditChunks()
	s.auditProgress()
	s.auditMachines()
	s.auditAssignments()
	s.auditTypes()
	s.auditBuckets()
	return s.found
}

func (s *Inspector) auditDependencies() {
	for _, id := range sortedKeys(s.awaited) {
		if _, ok := s.jobs[id]; !ok {
			s.find("awaits_nothing", keys.Job(s.awaited[id][0]), nil, "%d jobs await %s, which has no record and is not archived: they never start", len(s.awaited[id]), id)
		}
	}
}

func (s *Inspector) auditChunks() {
	for _, id := range sortedKeys(s.chunks) {
		job, ok := s.jobs[id]
		list := s.chunks[id]
		switch {
		case !ok:
			// A submission may be storing them at this moment: its record could follow.
			s.find("headless", list[0].Key, nil, "%d chunks of a description whose job was never accepted, or is archived; controllers delete them after ten minutes", len(list))
		case job.status.Final():
			s.find("leftover", list[0].Key, s.deletion(id, list), "%d chunks of the description of a job that is over", len(list))
		default:
			s.auditDescription(id, job, list)
		}
	}
}

// auditDescription finds chunks that the record of an unfinished job names and that are missing.
func (s *Inspector) auditDescription(id string, job jobSummary, list []store.Event) {
	have := 0
	for n := range job.chunks {
		key := chunks.Key(id, job.sum, n)
		if slices.ContainsFunc(list, func(e store.Event) bool { return e.Key == key }) {
			have++
		}
	}
	if have < job.chunks {
		s.find("incomplete", keys.Job(id), nil, "%d of %d chunks of its description are there: it never starts", have, job.chunks)
	}
}

func (s *Inspector) auditProgress() {
	for _, id := range sortedKeys(s.progress) {
		job, ok := s.jobs[id]
		if ok && !job.status.Final() {
			continue
		}
		// Who stores progress guards the record of an unfinished job: none can come.
		list := s.progress[id]
		s.find("leftover", list[0].Key, s.deletion(id, list), "%d records of finished tasks of a job that is over or not there", len(list))
	}
}

// deletion deletes keys as long as the record of a job is as it was seen.
func (s *Inspector) deletion(id string, list []store.Event) *store.Write {
	write := &store.Write{Guards: []store.Guard{{Key: keys.Job(id), Version: s.jobs[id].version}}}
	for _, e := range list {
		write.Changes = append(write.Changes, store.Change{Key: e.Key})
	}
	return write
}

func (s *Inspector) auditMachines() {
	for _, e := range s.groups {
		group, err := fleet.DecodeGroup(e.Key[len(keys.MachinePrefix):], e.Value)
		if err != nil {
			s.find("unreadable", e.Key, nil, "cannot be read: %v", err)
			continue
		}
		if len(group.Up)+len(group.Booting) == 0 {
			clear := &store.Write{Guards: []store.Guard{{Key: e.Key, Version: e.Stamp}}, Changes: []store.Change{{Key: e.Key}}}
			s.find("no_machines", e.Key, clear, "names no machine")
		}
		if _, ok := s.assignments[group.Shard]; !ok {
			s.find("no_block", e.Key, nil, "its machines belong to shard %d, which does not exist", group.Shard)
		}
	}
}

func (s *Inspector) auditAssignments() {
	for _, shard := range slices.Sorted(maps.Keys(s.assignments)) {
		assignment, err := authority.DecodeAssignment(s.assignments[shard].Value)
		switch {
		case err != nil:
			s.find("unreadable", keys.Assignment(shard), nil, "cannot be read: %v", err)
		case assignment.Node != "" && s.members[assignment.Node] != assignment.MemberID:
			s.find("no_seat", keys.Assignment(shard), nil, "is owned under a membership of %s that has ended; the leader assigns it anew", assignment.Node)
		}
	}
}

func (s *Inspector) auditTypes() {
	if s.mark == nil {
		return
	}
	for _, e := range s.types {
		if strings.HasPrefix(e.Key, keys.TypePrefix) {
			s.find("leftover", e.Key, nil, "a machine type where only older releases look; the leader deletes it")
		}
	}
}

func (s *Inspector) auditBuckets() {
	for _, number := range slices.Sorted(maps.Keys(s.bucketBits)) {
		if key, why := archive.Misplaced(number, s.bucketBits); why != "" {
			s.find("misplaced", key, nil, "%s", why)
		}
	}
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
