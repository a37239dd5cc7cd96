// Package chunks keeps job specs that are stored in chunks because one value of the state service is
// too small for them. It holds the texts until the job's record has been applied with them, records that
// arrived before all of their chunks, and orphaned chunks, which have no record. The package does no I/O.
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

// Key returns the key of one chunk of a job's spec.
func Key(id, checksum string, number int) string {
	return fmt.Sprintf("%s%s/%s/%d", keys.ChunkPrefix, id, checksum, number)
}

// JobID returns the ID of the job to which a chunk's key belongs.
func JobID(key string) string {
	id, _, _ := strings.Cut(strings.TrimPrefix(key, keys.ChunkPrefix), "/")
	return id
}

// FirstKey returns the key of the first chunk of the spec to which a key belongs.
// The record that names a spec guards the version of its first chunk. So whoever
// deletes the first chunk first may delete the others as long as the first is absent.
func FirstKey(key string) string { return key[:strings.LastIndexByte(key, '/')+1] + "0" }

// Store holds the chunks that a controller knows. Its memory grows with the number of
// stored chunks; the texts of a job are dropped once its record has been applied. Use New.
type Store struct {
	texts       map[string]map[string]string  // by job and key; "" once the text is no longer needed
	incomplete  map[string]store.Event        // records whose chunks have not all arrived, by job
	orphans     map[string]units.Microseconds // jobs with chunks and no record, with the time of the last chunk
	orphanQueue []orphan                      // the same in order of time; outdated entries are skipped
}

type orphan struct {
	id    string
	since units.Microseconds
}

// New returns an empty store.
func New() *Store {
	return &Store{texts: map[string]map[string]string{}, incomplete: map[string]store.Event{}, orphans: map[string]units.Microseconds{}}
}

// Apply applies a stored chunk. recordKnown reports whether its job's
// record has been applied already, so that the text is not needed. If a
// record waits for chunks of the job, Apply returns it, and waits is true.
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
		s.addOrphan(now, id)
	}
	return record, waits, nil
}

// addOrphan records that a job has chunks and no record.
func (s *Store) addOrphan(now units.Microseconds, id string) {
	s.orphans[id] = now
	s.orphanQueue = append(s.orphanQueue, orphan{id, now})
}

// Delete removes a chunk that is no longer stored, and reports whether it was the last one of its job.
func (s *Store) Delete(key string) bool {
	id := JobID(key)
	if delete(s.texts[id], key); len(s.texts[id]) > 0 {
		return false
	}
	delete(s.texts, id)
	delete(s.orphans, id)
	return true
}

// Keys returns the keys of a job's chunks in order, so that
// the first chunk of each spec precedes its others.
func (s *Store) Keys(id string) []string { return slices.Sorted(maps.Keys(s.texts[id])) }

// HasChunks reports whether any chunk of a job is stored.
func (s *Store) HasChunks(id string) bool { return len(s.texts[id]) > 0 }

// Join adds the spec to a record and returns true if all of its chunks are there. Otherwise it keeps
// the record until they are. An error means that the chunks cannot be joined; the record is kept then too.
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

// RecordApplied notes that a job's record has been applied, or needs no chunks.
func (s *Store) RecordApplied(id string) {
	delete(s.incomplete, id)
	delete(s.orphans, id)
}

// NextOrphan returns a job that has had chunks and no record for at least the given time, because
// its submission was not completed. The job is removed from the queue; RequeueOrphan adds it again.
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

// RequeueOrphan makes NextOrphan return a job once more, after the full time.
func (s *Store) RequeueOrphan(now units.Microseconds, id string) {
	if _, orphaned := s.orphans[id]; orphaned {
		s.addOrphan(now, id)
	}
}
