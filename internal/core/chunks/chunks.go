// Package chunks keeps descriptions that are stored in parts, as one value of the
// state service is too small for them: the texts until a job's record has been read
// with them, records that came before all of their parts, and parts whose record
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

// Prefix is where parts are stored: JOB/SUM/N.
const Prefix = keys.ChunkPrefix

// Key is where one part of a job's description is stored.
func Key(id, sum string, n int) string { return fmt.Sprintf("%s%s/%s/%d", Prefix, id, sum, n) }

// Owner returns the job that a key belongs to.
func Owner(key string) string {
	id, _, _ := strings.Cut(strings.TrimPrefix(key, Prefix), "/")
	return id
}

// First returns the key of the first part of the description that a key belongs to.
// The record that names a description guards the version of that part, so whoever
// removes it first may remove the others as long as it stays away.
func First(key string) string { return key[:strings.LastIndexByte(key, '/')+1] + "0" }

// Store is what a controller keeps of them. Its memory grows with the parts that are
// stored; the texts of a job's are dropped once it has been read.
type Store struct {
	texts map[string]map[string]string  // by job and key; "" where nobody needs it any more
	heads map[string]store.Event        // records whose parts are not all there
	lone  map[string]units.Microseconds // jobs with parts and no record, and when the last part came
	queue []orphan                      // the same in the order of time; those that no longer hold are passed over
}

type orphan struct {
	id string
	at units.Microseconds
}

// New returns an empty shelf.
func New() *Store {
	return &Store{texts: map[string]map[string]string{}, heads: map[string]store.Event{}, lone: map[string]units.Microseconds{}}
}

// Put takes a part. read says that its job's record has been read already, so that
// nobody needs the text. It returns the record that waits for parts, if one does.
func (s *Store) Put(now units.Microseconds, e store.Event, read bool) (head store.Event, waits bool, err error) {
	id := Owner(e.Key)
	text, err := jobs.ChunkText(e.Value)
	if err != nil {
		return head, false, err
	}
	if s.texts[id] == nil {
		s.texts[id] = map[string]string{}
	}
	if read {
		s.texts[id][e.Key] = ""
		return head, false, nil
	}
	s.texts[id][e.Key] = text
	if head, waits = s.heads[id]; !waits {
		s.await(now, id)
	}
	return head, waits, nil
}

// await notes that a record is missing.
func (s *Store) await(now units.Microseconds, id string) {
	s.lone[id] = now
	s.queue = append(s.queue, orphan{id, now})
}

// Drop forgets a part that is stored no more, and reports whether it was the last of
// its job's.
func (s *Store) Drop(key string) bool {
	id := Owner(key)
	if delete(s.texts[id], key); len(s.texts[id]) > 0 {
		return false
	}
	delete(s.texts, id)
	delete(s.lone, id)
	return true
}

// Keys returns the keys of a job's parts in their order: of each description the
// first part comes first.
func (s *Store) Keys(id string) []string { return slices.Sorted(maps.Keys(s.texts[id])) }

// Any reports whether any part of a job is stored.
func (s *Store) Any(id string) bool { return len(s.texts[id]) > 0 }

// Join completes a record with its description, and reports whether all of its parts
// are there. Where they are not, the record waits for them.
func (s *Store) Join(id string, r *jobs.Record, e store.Event) (bool, error) {
	delete(s.lone, id)
	texts := make([]string, r.Chunks)
	for n := range texts {
		t, ok := s.texts[id][Key(id, r.Checksum, n)]
		if !ok {
			s.heads[id] = e
			return false, nil
		}
		texts[n] = t
	}
	if err := r.Join(texts); err != nil {
		s.heads[id] = e
		return false, err
	}
	for k := range s.texts[id] {
		s.texts[id][k] = ""
	}
	return true, nil
}

// Read notes that a job's record has been read, or needs no parts.
func (s *Store) Read(id string) {
	delete(s.heads, id)
	delete(s.lone, id)
}

// Orphaned returns a job of which parts but no record have been known for some time: its
// submission was given up half-way. It is told once, unless it is put back.
func (s *Store) Orphaned(now, after units.Microseconds) (id string, ok bool) {
	for len(s.queue) > 0 && now-s.queue[0].at >= after {
		l := s.queue[0]
		s.queue = s.queue[1:]
		if at, waits := s.lone[l.id]; waits && at == l.at {
			return l.id, true
		}
	}
	return "", false
}

// Defer has a job told as lone again after the same time.
func (s *Store) Defer(now units.Microseconds, id string) {
	if _, waits := s.lone[id]; waits {
		s.await(now, id)
	}
}
