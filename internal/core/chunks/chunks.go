// Package chunks keeps descriptions that are stored in chunks, as one value of the
// state service is too small for them: the texts until a job's record has been learnt
// with them, records that came before all of their chunks, and orphaned chunks, whose record
// never came. It is pure.
package chunks

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/keys"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

// Key is where one chunk of a job's description is stored.
func Key(id, checksum string, number int) string {
	return fmt.Sprintf("%s%s/%s/%d", keys.ChunkPrefix, id, checksum, number)
}

// JobID returns the job that a key belongs to.
func JobID(key string) string {
	id, _, _ := strings.Cut(strings.TrimPrefix(key, keys.ChunkPrefix), "/")
	return id
}

// FirstKey returns the key of the first chunk of the description that a key belongs to.
// The record that names a description guards the version of that chunk, so whoever
// deletes it first may delete the others as long as it stays away.
func FirstKey(key string) string { return key[:strings.LastIndexByte(key, '/')+1] + "0" }

// Store is what a controller keeps of them. Its memory grows with the chunks that are
// stored; a job's texts are dropped once its record has been learnt.
type Store struct {
	texts       map[string]map[string]string  // by job and key; "" where nobody needs it any more
	incomplete  map[string]store.Event        // records of which chunks are missing
	orphans     map[string]units.Microseconds // jobs with chunks and no record, and when the last chunk came
	orphanQueue []orphan                      // the same in the order of time; those that no longer hold are passed over
}

type orphan struct {
	id    string
	since units.Microseconds
}

// New returns an empty store.
func New() *Store {
	return &Store{texts: map[string]map[string]string{}, incomplete: map[string]store.Event{}, orphans: map[string]units.Microseconds{}}
}

// Apply takes a chunk. recordKnown says that its job's record has been learnt already, so that
// nobody needs the text. It returns the record that waits for chunks, if one does.
func (s *Store) Apply(now units.Microseconds, chunk store.Event, recordKnown bool) (record store.Event, waits bool, err error) {
	id := JobID(chunk.Key)
	text, err := jobs.ChunkText(chunk.Value)
	if err != nil {
		return record, false, err
	}
	if s.texts[id] == nil {
		s.texts[id] = map[string]string{}
	}
	if recordKnown {
		s.texts[id][chunk.Key] = ""
		return record, false, nil
	}
	s.texts[id][chunk.Key] = text
	if record, waits = s.incomplete[id]; !waits {
		s.recordMissing(now, id)
	}
	return record, waits, nil
}

// recordMissing notes that a record is missing.
func (s *Store) recordMissing(now units.Microseconds, id string) {
	s.orphans[id] = now
	s.orphanQueue = append(s.orphanQueue, orphan{id, now})
}

// Delete drops a chunk that is no longer stored, and reports whether it was the last of
// its job's.
func (s *Store) Delete(key string) bool {
	id := JobID(key)
	if delete(s.texts[id], key); len(s.texts[id]) > 0 {
		return false
	}
	delete(s.texts, id)
	delete(s.orphans, id)
	return true
}

// Keys returns the keys of a job's chunks in their order: of each description the
// first chunk comes first.
func (s *Store) Keys(id string) []string { return slices.Sorted(maps.Keys(s.texts[id])) }

// HasChunks reports whether any chunk of a job is stored.
func (s *Store) HasChunks(id string) bool { return len(s.texts[id]) > 0 }

// Join completes a record with its description, and reports whether all of its chunks
// are there. Where they are not, the record waits for them.
func (s *Store) Join(id string, record *jobs.Record, event store.Event) (bool, error) {
	delete(s.orphans, id)
	texts := make([]string, record.Chunks)
	for number := range texts {
		text, stored := s.texts[id][Key(id, record.Checksum, number)]
		if !stored {
			s.incomplete[id] = event
			return false, nil
		}
		texts[number] = text
	}
	if err := record.Join(texts); err != nil {
		s.incomplete[id] = event
		return false, err
	}
	for key := range s.texts[id] {
		s.texts[id][key] = ""
	}
	return true, nil
}

// RecordApplied notes that a job's record has been learnt, or needs no chunks.
func (s *Store) RecordApplied(id string) {
	delete(s.incomplete, id)
	delete(s.orphans, id)
}

// NextOrphan returns a job of which chunks but no record have been known for some time: its
// submission was abandoned half-way. It is returned once, unless Defer puts it back.
func (s *Store) NextOrphan(now, after units.Microseconds) (id string, ok bool) {
	for len(s.orphanQueue) > 0 && now-s.orphanQueue[0].since >= after {
		oldest := s.orphanQueue[0]
		s.orphanQueue = s.orphanQueue[1:]
		if since, orphaned := s.orphans[oldest.id]; orphaned && since == oldest.since {
			return oldest.id, true
		}
	}
	return "", false
}

// RequeueOrphan has Orphaned return a job again after the same time.
func (s *Store) RequeueOrphan(now units.Microseconds, id string) {
	if _, orphaned := s.orphans[id]; orphaned {
		s.recordMissing(now, id)
	}
}
