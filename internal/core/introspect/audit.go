// Package introspect answers operators' questions: the state of shards, machines and jobs
// (Stats), why a job waits (Explain), and whether everything in the state service should
// be there (Inspector). It reads data that other packages own, and changes nothing.
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

// Finding is a key in the state service that should not be there, or has a wrong value.
type Finding struct {
	Kind string `json:"kind"` // see docs/backup.md
	Key  string `json:"key"`
	Text string `json:"text"`
	// Clear is a guarded write that is safe at any time and
	// removes the cause. It is nil if an operator must decide.
	Clear *store.Write `json:"-"`
	Fix   bool         `json:"can_be_cleared,omitempty"`
}

// Inspector audits every key of a state service: first those under keys.Root,
// then the archive's buckets. Its memory grows with the jobs that are unfinished
// or not archived yet, and by a few bytes with each bucket. Use NewInspector.
type Inspector struct {
	found        []Finding
	keyCounts    map[string]int // by key prefix
	jobs         map[string]jobSummary
	chunks       map[string][]store.Event // by job
	progress     map[string][]store.Event // by job
	members      map[string]uint64        // version of each membership record
	assignments  map[int]store.Event
	groups       []store.Event
	types        []store.Event
	dependents   map[string][]string // by id of a job that is awaited and not archived: the jobs that await it
	archiveMark  *archive.Mark
	bucketDepths map[uint32]int // depth of each bucket
	archived     int            // number of archived jobs
}

// jobSummary is the part of a job's record that the audit needs.
type jobSummary struct {
	status   jobs.Status
	version  uint64
	chunks   int
	checksum string
}

// overrideRecord is the stored record of an operator's override for a zone.
type overrideRecord struct {
	Override zones.Override `json:"word"`
}

// NewInspector returns an Inspector that has inspected nothing yet.
func NewInspector() *Inspector {
	return &Inspector{
		keyCounts:    map[string]int{},
		jobs:         map[string]jobSummary{},
		chunks:       map[string][]store.Event{},
		progress:     map[string][]store.Event{},
		members:      map[string]uint64{},
		assignments:  map[int]store.Event{},
		dependents:   map[string][]string{},
		bucketDepths: map[uint32]int{},
	}
}

// addFinding records a finding; clear is nil if an operator must decide.
func (s *Inspector) addFinding(kind, key string, clear *store.Write, format string, args ...any) {
	s.found = append(s.found, Finding{Kind: kind, Key: key, Text: fmt.Sprintf(format, args...), Clear: clear, Fix: clear != nil})
}

// Inspect inspects one key under keys.Root.
func (s *Inspector) Inspect(e store.Event) {
	folder, rest, _ := strings.Cut(strings.TrimPrefix(e.Key, keys.Root), "/")
	s.keyCounts[keys.Root+folder]++
	known, err := s.inspectWork(e, rest)
	if !known {
		known, err = s.inspectAuthority(e, rest)
	}
	if !known {
		s.addFinding("foreign", e.Key, nil, "no release of this program writes such a key")
	}
	if err != nil {
		s.addFinding("unreadable", e.Key, nil, "cannot be read: %v", err)
	}
}

// inspectWork inspects a key of jobs, machines or the archive, and reports whether it is one.
func (s *Inspector) inspectWork(event store.Event, rest string) (known bool, err error) {
	id, _, _ := strings.Cut(rest, "/")
	seen := store.Event{Key: event.Key, Stamp: event.Stamp} // without its value, to save memory
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
		s.archiveMark = &archive.Mark{}
		err = json.Unmarshal(event.Value, s.archiveMark)
	default:
		return false, nil
	}
	return true, err
}

// inspectAuthority inspects a key of controllers or operators, and reports whether it is one.
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
		s.jobs[id] = jobSummary{status: jobs.Pending, version: e.Stamp} // so that its chunks and progress are not reported
		return err
	}
	s.jobs[id] = jobSummary{status: record.Status, version: e.Stamp, chunks: record.Chunks, checksum: record.Checksum}
	if record.Spec != nil && !record.Status.Final() {
		for _, awaited := range record.Spec.Awaits {
			s.dependents[awaited] = append(s.dependents[awaited], id)
		}
	}
	return nil
}

// InspectBucket inspects one bucket of archived jobs.
func (s *Inspector) InspectBucket(e store.Event) {
	s.keyCounts[strings.TrimSuffix(archive.Prefix, "/")]++
	bucket, err := archive.Decode(e.Key, e.Value)
	if err != nil {
		s.addFinding("unreadable", e.Key, nil, "archived jobs that cannot be read: %v", err)
		return
	}
	s.bucketDepths[bucket.Number] = bucket.Depth
	s.archived += len(bucket.Jobs)
	for id := range bucket.IDs() {
		if job, ok := s.jobs[id]; ok && !job.status.Final() {
			s.addFinding("twice", keys.Job(id), nil, "is archived as over, and its record calls it %s", job.status)
		}
		delete(s.dependents, id)
	}
}

// Keys returns the number of keys by prefix, and the number of archived jobs.
func (s *Inspector) Keys() (counts map[string]int, archived int) { return s.keyCounts, s.archived }

// Machines returns the key of the record of each machine that has one, by the machine's name.
func (s *Inspector) Machines() map[string]string {
	records := map[string]string{}
	for _, e := range s.groups {
		group, err := fleet.DecodeGroup(e.Key[len(keys.MachinePrefix):], e.Value)
		if err != nil {
			continue // Findings reports it as unreadable
		}
		for _, name := range slices.Concat(group.Up, group.Booting) {
			records[name] = e.Key
		}
	}
	return records
}

// Findings returns all findings. It is called after every key was inspected.
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
	for _, id := range sortedKeys(s.dependents) {
		if _, ok := s.jobs[id]; !ok {
			s.addFinding("awaits_nothing", keys.Job(s.dependents[id][0]), nil, "%d jobs await %s, which has no record and is not archived: they never start", len(s.dependents[id]), id)
		}
	}
}

func (s *Inspector) auditChunks() {
	for _, id := range sortedKeys(s.chunks) {
		job, ok := s.jobs[id]
		list := s.chunks[id]
		switch {
		case !ok:
			// The submission may still be in progress: its record is stored after its chunks.
			s.addFinding("headless", list[0].Key, nil, "%d chunks of a description whose job was never accepted, or is archived; controllers delete them after ten minutes", len(list))
		case job.status.Final():
			s.addFinding("leftover", list[0].Key, s.deletion(id, list), "%d chunks of the description of a job that is over", len(list))
		default:
			s.auditDescription(id, job, list)
		}
	}
}

// auditDescription finds missing chunks of an unfinished job's description.
func (s *Inspector) auditDescription(id string, job jobSummary, list []store.Event) {
	have := 0
	for n := range job.chunks {
		key := chunks.Key(id, job.checksum, n)
		if slices.ContainsFunc(list, func(e store.Event) bool { return e.Key == key }) {
			have++
		}
	}
	if have < job.chunks {
		s.addFinding("incomplete", keys.Job(id), nil, "%d of %d chunks of its description are there: it never starts", have, job.chunks)
	}
}

func (s *Inspector) auditProgress() {
	for _, id := range sortedKeys(s.progress) {
		job, ok := s.jobs[id]
		if ok && !job.status.Final() {
			continue
		}
		// No further progress can be stored, because such a
		// write is guarded by the record of an unfinished job.
		list := s.progress[id]
		s.addFinding("leftover", list[0].Key, s.deletion(id, list), "%d records of finished tasks of a job that is over or not there", len(list))
	}
}

// deletion returns a write that deletes keys, guarded by
// the version of the job's record that was inspected.
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
			s.addFinding("unreadable", e.Key, nil, "cannot be read: %v", err)
			continue
		}
		if len(group.Up)+len(group.Booting) == 0 {
			clear := &store.Write{Guards: []store.Guard{{Key: e.Key, Version: e.Stamp}}, Changes: []store.Change{{Key: e.Key}}}
			s.addFinding("no_machines", e.Key, clear, "names no machine")
		}
		if _, ok := s.assignments[group.Shard]; !ok {
			s.addFinding("no_block", e.Key, nil, "its machines belong to shard %d, which does not exist", group.Shard)
		}
	}
}

func (s *Inspector) auditAssignments() {
	for _, shard := range slices.Sorted(maps.Keys(s.assignments)) {
		assignment, err := authority.DecodeAssignment(s.assignments[shard].Value)
		switch {
		case err != nil:
			s.addFinding("unreadable", keys.Assignment(shard), nil, "cannot be read: %v", err)
		case assignment.Node != "" && s.members[assignment.Node] != assignment.MemberID:
			s.addFinding("no_seat", keys.Assignment(shard), nil, "is owned under a membership of %s that has ended; the leader assigns it anew", assignment.Node)
		}
	}
}

func (s *Inspector) auditTypes() {
	if s.archiveMark == nil {
		return
	}
	for _, e := range s.types {
		if strings.HasPrefix(e.Key, keys.TypePrefix) {
			s.addFinding("leftover", e.Key, nil, "a machine type where only older releases look; the leader deletes it")
		}
	}
}

func (s *Inspector) auditBuckets() {
	for _, number := range slices.Sorted(maps.Keys(s.bucketDepths)) {
		if key, why := archive.CheckPlacement(number, s.bucketDepths); why != "" {
			s.addFinding("misplaced", key, nil, "%s", why)
		}
	}
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
