package core

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
)

// Finding is something in the state service that should not be there, or not so.
type Finding struct {
	Kind string `json:"kind"`
	Key  string `json:"key"`
	Text string `json:"text"`
	// Clear are guarded changes that are safe at any time; none: it is for an operator
	// to judge.
	Clear *store.Write `json:"-"`
	Fix   bool         `json:"can_be_cleared,omitempty"`
}

// Inspector looks at every key of a state service, those under Root first and the
// buckets after them. Its memory grows with unfinished work and what is kept, and by a
// few bytes with each bucket.
type Inspector struct {
	found  []Finding
	keys   map[string]int
	jobs   map[string]inspectedJob
	parts  map[string][]store.Event
	done   map[string][]store.Event
	seats  map[string]uint64
	blocks map[int]store.Event
	groups []store.Event
	types  []store.Event
	awaits map[string][]string // ids that are awaited and have no record, by whom
	mark   *archive.Mark
	bits   map[uint32]int // of buckets
	packed int
}

type inspectedJob struct {
	status jobs.Status
	stamp  uint64
	parts  int
	sum    string
}

// NewInspector returns one that has seen nothing.
func NewInspector() *Inspector {
	return &Inspector{keys: map[string]int{}, jobs: map[string]inspectedJob{}, parts: map[string][]store.Event{}, done: map[string][]store.Event{},
		seats: map[string]uint64{}, blocks: map[int]store.Event{}, awaits: map[string][]string{}, bits: map[uint32]int{}}
}

func (s *Inspector) find(kind, key string, clear *store.Write, format string, args ...any) {
	s.found = append(s.found, Finding{kind, key, fmt.Sprintf(format, args...), clear, clear != nil})
}

// Look takes a key under Root.
func (s *Inspector) Look(e store.Event) {
	folder, rest, _ := strings.Cut(strings.TrimPrefix(e.Key, root), "/")
	s.keys[root+folder]++
	var err error
	switch {
	case strings.HasPrefix(e.Key, jobPrefix):
		err = s.lookJob(e)
	case strings.HasPrefix(e.Key, chunkPrefix):
		id, _, _ := strings.Cut(rest, "/")
		s.parts[id] = append(s.parts[id], store.Event{Key: e.Key, Stamp: e.Stamp})
		_, err = jobs.ChunkText(e.Value)
	case strings.HasPrefix(e.Key, progressPrefix):
		id, _, _ := strings.Cut(rest, "/")
		s.done[id] = append(s.done[id], store.Event{Key: e.Key, Stamp: e.Stamp})
		err = json.Unmarshal(e.Value, &jobs.Progress{})
	case strings.HasPrefix(e.Key, machinePrefix):
		s.groups = append(s.groups, e)
	case strings.HasPrefix(e.Key, memberPrefix):
		s.seats[rest] = e.Stamp
		err = json.Unmarshal(e.Value, &authority.Member{})
	case strings.HasPrefix(e.Key, assignmentPrefix):
		var k int
		if k, err = shardNumber(e.Key, assignmentPrefix); err == nil {
			s.blocks[k] = e
		}
	case strings.HasPrefix(e.Key, configPrefix):
		err = configuration.Readable(e.Key, e.Value)
	case strings.HasPrefix(e.Key, overridePrefix):
		err = json.Unmarshal(e.Value, &OperatorOverride{})
	case strings.HasPrefix(e.Key, standbyPrefix):
		err = json.Unmarshal(e.Value, &replication.Record{})
	case strings.HasPrefix(e.Key, allocationPrefix):
		err = json.Unmarshal(e.Value, &authority.QuotaAllocation{})
	case strings.HasPrefix(e.Key, typePrefix), strings.HasPrefix(e.Key, keys.TypePrefixWithArchive):
		s.types = append(s.types, store.Event{Key: e.Key, Stamp: e.Stamp})
		err = json.Unmarshal(e.Value, &fleet.Type{})
	case e.Key == keys.ArchiveMark:
		s.mark = &archive.Mark{}
		err = json.Unmarshal(e.Value, s.mark)
	case e.Key == leaderKeyFirst || e.Key == keys.LeaderSinceArchive:
		err = json.Unmarshal(e.Value, &authority.LeaderRecord{})
	case e.Key == termKey:
		err = json.Unmarshal(e.Value, &authority.Term{})
	default:
		s.find("foreign", e.Key, nil, "no release of this program writes such a key")
	}
	if err != nil {
		s.find("unreadable", e.Key, nil, "cannot be read: %v", err)
	}
}

func (s *Inspector) lookJob(e store.Event) error {
	id := e.Key[len(jobPrefix):]
	r, err := jobs.DecodeRecord(e.Value)
	if err != nil {
		s.jobs[id] = inspectedJob{status: jobs.Pending, stamp: e.Stamp} // its parts and progress stay
		return err
	}
	s.jobs[id] = inspectedJob{r.Status, e.Stamp, r.Chunks, r.Checksum}
	if r.Spec != nil && !r.Status.Final() {
		for _, a := range r.Spec.Awaits {
			s.awaits[a] = append(s.awaits[a], id)
		}
	}
	return nil
}

// LookBucket takes a key of packed jobs.
func (s *Inspector) LookBucket(e store.Event) {
	s.keys[strings.TrimSuffix(archive.Prefix, "/")]++
	b, err := archive.Decode(e.Key, e.Value)
	if err != nil {
		s.find("unreadable", e.Key, nil, "packed jobs that cannot be read: %v", err)
		return
	}
	s.bits[b.N] = b.Bits
	s.packed += len(b.Jobs)
	for id := range b.IDs() {
		if j, ok := s.jobs[id]; ok && !j.status.Final() {
			s.find("twice", jobPrefix+id, nil, "is packed as over, and its record calls it %s", j.status)
		}
		delete(s.awaits, id)
	}
}

// Keys returns how many keys there are by folder, and how many jobs are packed.
func (s *Inspector) Keys() (map[string]int, int) { return s.keys, s.packed }

// Machines returns the record of each machine that has one.
func (s *Inspector) Machines() map[string]string {
	out := map[string]string{}
	for _, e := range s.groups {
		g, err := fleet.DecodeGroup(e.Key[len(machinePrefix):], e.Value)
		if err != nil {
			continue // told as unreadable
		}
		for _, n := range slices.Concat(g.Up, g.Booting) {
			out[n] = e.Key
		}
	}
	return out
}

// removal removes keys as long as the record of a job is as it was seen.
func (s *Inspector) removal(id string, list []store.Event) *store.Write {
	w := &store.Write{Guards: []store.Guard{{Key: jobPrefix + id, Version: s.jobs[id].stamp}}}
	for _, e := range list {
		w.Changes = append(w.Changes, store.Change{Key: e.Key})
	}
	return w
}

// Findings returns what was found once everything was looked at.
func (s *Inspector) Findings() []Finding {
	for _, id := range sortedKeys(s.awaits) {
		if _, ok := s.jobs[id]; !ok {
			s.find("awaits_nothing", jobPrefix+s.awaits[id][0], nil, "%d jobs await %s, which has no record and is not packed: they never start", len(s.awaits[id]), id)
		}
	}
	for _, id := range sortedKeys(s.parts) {
		j, ok := s.jobs[id]
		list := s.parts[id]
		switch {
		case !ok:
			// A submission may be storing them at this moment: its record could follow.
			s.find("headless", list[0].Key, nil, "%d parts of a description whose job was never accepted, or is packed; controllers clear them after ten minutes", len(list))
		case j.status.Final():
			s.find("leftover", list[0].Key, s.removal(id, list), "%d parts of the description of a job that is over", len(list))
		default:
			have := 0
			for n := range j.parts {
				if slices.ContainsFunc(list, func(e store.Event) bool { return e.Key == chunks.Key(id, j.sum, n) }) {
					have++
				}
			}
			if have < j.parts {
				s.find("incomplete", jobPrefix+id, nil, "%d of %d parts of its description are there: it never starts", have, j.parts)
			}
		}
	}
	for _, id := range sortedKeys(s.done) {
		list := s.done[id]
		j, ok := s.jobs[id]
		if ok && !j.status.Final() {
			continue
		}
		// Who stores progress guards the record of an unfinished job: none can come.
		s.find("leftover", list[0].Key, s.removal(id, list), "%d records of finished tasks of a job that is over or not there", len(list))
	}
	for _, e := range s.groups {
		g, err := fleet.DecodeGroup(e.Key[len(machinePrefix):], e.Value)
		if err != nil {
			s.find("unreadable", e.Key, nil, "cannot be read: %v", err)
			continue
		}
		if len(g.Up)+len(g.Booting) == 0 {
			s.find("no_machines", e.Key, &store.Write{Guards: []store.Guard{{Key: e.Key, Version: e.Stamp}}, Changes: []store.Change{{Key: e.Key}}}, "names no machine")
		}
		if _, ok := s.blocks[g.Shard]; !ok {
			s.find("no_block", e.Key, nil, "its machines belong to block %d, which does not exist", g.Shard)
		}
	}
	for _, k := range slices.Sorted(maps.Keys(s.blocks)) {
		b, err := authority.DecodeAssignment(s.blocks[k].Value)
		switch {
		case err != nil:
			s.find("unreadable", assignmentKey(k), nil, "cannot be read: %v", err)
		case b.Node != "" && s.seats[b.Node] != b.MemberID:
			s.find("no_seat", assignmentKey(k), nil, "is held by a seat of %s that does not stand; the leader grants it anew", b.Node)
		}
	}
	if s.mark != nil {
		for _, e := range s.types {
			if strings.HasPrefix(e.Key, typePrefix) {
				s.find("leftover", e.Key, nil, "a machine type where only older releases look; the leader removes it")
			}
		}
	}
	for _, n := range slices.Sorted(maps.Keys(s.bits)) {
		if key, why := archive.Misplaced(n, s.bits); why != "" {
			s.find("misplaced", key, nil, "%s", why)
		}
	}
	return s.found
}
