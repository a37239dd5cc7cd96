package archive

import (
	"container/list"

	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

// Jobs is what the packer needs to know of the jobs that are over.
type Jobs interface {
	// Packable returns what is to be packed of a job, its record's key and version,
	// and the other keys that are to go with it; ok is false while it must stay. A job
	// whose end was stored at or after the cut must.
	Packable(id string, cut uint64) (job Job, ok bool)
}

// Job is a job that may be packed.
type Job struct {
	Answer Answer
	Key    string
	Stamp  uint64
	Clear  []string
}

// Archiver moves the answers of jobs that are over into buckets, the oldest first. Any
// controller keeps the list; the leader packs.
type Archiver struct {
	past  *Index
	order *list.List // ids of jobs that are over, as they were learnt
	where map[string]*list.Element
	busy  bool
	try   units.Microseconds
	Done  int // packed by this node
}

type entry struct {
	id    string
	since units.Microseconds
}

// window bounds how many of the jobs are looked at for those of one bucket.
const window = 1 << 13

// NewArchiver returns a packer with nothing to pack.
func NewArchiver(p *Index) *Archiver {
	return &Archiver{past: p, order: list.New(), where: map[string]*list.Element{}}
}

// JobOver notes that a job is over.
func (k *Archiver) JobOver(now units.Microseconds, id string) {
	if k.where[id] == nil {
		k.where[id] = k.order.PushBack(entry{id, now})
	}
}

// RecordRemoved notes that a job's record is not there any more.
func (k *Archiver) RecordRemoved(id string) {
	if e := k.where[id]; e != nil {
		k.order.Remove(e)
		delete(k.where, id)
	}
}

// Len returns how many jobs that are over are kept in memory.
func (k *Archiver) Len() int { return len(k.where) }

// later puts a job that cannot be packed yet behind the others.
func (k *Archiver) later(now units.Microseconds, id string) {
	if e := k.where[id]; e != nil {
		e.Value = entry{id, now}
		k.order.MoveToBack(e)
	}
}

// Limits are those of the state service.
type Limits struct {
	Value int // bytes of a bucket's value
	Ops   int // changes of one transaction
	Size  int // bytes of one transaction
}

// Step packs some jobs, if any has been over for long enough: it reads a bucket and
// hands the write to send, which has guards for all but the packer's own authority.
// One step is under way at a time.
func (k *Archiver) Step(now units.Microseconds, age units.Microseconds, jobs Jobs, lim Limits, send func(*store.Write) bool) {
	if k.busy || now < k.try {
		return
	}
	first := k.order.Front()
	for range 64 { // those that must stay are put back
		if first == nil || now-first.Value.(entry).since < age {
			k.try = now + units.Second
			return
		}
		id := first.Value.(entry).id
		j, ok := jobs.Packable(id, k.past.mark.Cut)
		if j.Stamp >= k.past.mark.Cut { // the next cut is for it and those behind it
			k.try = now + units.Second
			return
		}
		if ok {
			k.busy = true
			k.past.Bucket(id, func(b *Bucket, stamp uint64) { k.pack(jobs, lim, now, age, b, stamp, send) })
			return
		}
		k.later(now, id)
		first = k.order.Front()
	}
}

// pack writes a bucket that was read just now.
func (k *Archiver) pack(jobs Jobs, lim Limits, now, age units.Microseconds, b *Bucket, stamp uint64, send func(*store.Write) bool) {
	k.busy = false
	if b == nil { // not known: the state service is asked again soon
		k.try = max(k.try, now+units.Second)
		return
	}
	w, taken := k.write(jobs, lim, now, age, b, stamp)
	if w == nil {
		return
	}
	k.busy = true
	w.Done = func(o store.Outcome, _ uint64) {
		k.busy = false
		switch o {
		case store.OK:
			k.Done += len(taken)
			for id, a := range taken {
				k.past.Remember(id, a)
				k.RecordRemoved(id) // the copy shows it with the next read
			}
		case store.TooLarge:
			k.try = max(k.try, now+units.Second)
			for id := range taken {
				k.later(now, id)
			}
		default: // what has come of it shows when the bucket is read again
			k.try = max(k.try, now+units.Second/2)
		}
	}
	if !send(w) {
		k.busy = false
		k.try = now + units.Second
	}
}

// write makes the transaction that adds to a bucket as many jobs as fit.
func (k *Archiver) write(jobs Jobs, lim Limits, now, age units.Microseconds, b *Bucket, stamp uint64) (*store.Write, map[string]Answer) {
	w := &store.Write{Deferred: true}
	taken := map[string]Answer{}
	more := map[uint64]Answer{}
	var clear []store.Change
	size := 0
	looked := 0
	for e := k.order.Front(); e != nil && looked < window; e = e.Next() {
		looked++
		v := e.Value.(entry)
		if now-v.since < age {
			break
		}
		if !b.Covers(v.id) {
			continue
		}
		j, ok := jobs.Packable(v.id, k.past.mark.Cut)
		if !ok {
			continue
		}
		// A bucket may have to be cut in two, which takes one change more.
		room := lim.Ops - 2 - len(clear)
		if room < 1 {
			break
		}
		if len(j.Clear)+1 > room {
			if len(taken) > 0 {
				continue
			}
			// What is left of it goes first, a part at a time.
			for _, c := range j.Clear[:min(len(j.Clear), lim.Ops)] {
				w.Changes = append(w.Changes, store.Change{Key: c})
			}
			w.Guards = append(w.Guards, store.Guard{Key: j.Key, Version: j.Stamp})
			return w, nil
		}
		n, err := number(v.id)
		if err != nil {
			continue
		}
		gone := []store.Change{{Key: j.Key}}
		for _, k := range j.Clear {
			gone = append(gone, store.Change{Key: k})
		}
		here := 0
		for _, c := range gone {
			here += c.Size()
		}
		if size+here+2*lim.Value+1024 > lim.Size {
			break
		}
		size += here
		taken[v.id] = j.Answer
		more[n] = j.Answer
		w.Guards = append(w.Guards, store.Guard{Key: j.Key, Version: j.Stamp})
		clear = append(clear, gone...)
	}
	if len(taken) == 0 {
		return nil, nil
	}
	all := b.with(more)
	parts := all.pieces(lim.Value, lim.Ops-len(clear))
	if parts == nil {
		// Cutting alone takes all that goes with one transaction: the jobs come next.
		if parts = b.pieces(lim.Value, lim.Ops); parts == nil || len(parts) == 1 {
			for id := range taken {
				k.later(now, id)
			}
			return nil, nil
		}
		taken, clear, w.Guards = nil, nil, nil
	}
	for _, p := range parts {
		g := store.Guard{Key: Key(p.N)}
		if p.N == b.N {
			g.Version = stamp
		}
		w.Guards = append(w.Guards, g)
		w.Changes = append(w.Changes, store.Change{Key: Key(p.N), Value: p.Encode()})
		k.past.hint(p.N, p.Bits)
	}
	w.Changes = append(w.Changes, clear...)
	return w, taken
}
