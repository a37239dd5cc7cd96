package host

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"

	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/kv"
)

// Disk stores the state service's data in a directory. Once Write has returned, the data survives a crash of the
// process at any time.
type Disk struct{ db *bbolt.DB }

// diskFormat is the version of the file format. Raise it when the format changes in a way that an older release
// would misread.
const diskFormat = 1

var (
	metaBucket  = []byte("meta")
	keysBucket  = []byte("keys")
	leaseBucket = []byte("leases")
	formatKey   = []byte("format")
	revKey      = []byte("revision")
	leaseKey    = []byte("last_lease")
)

// diskRecord is the value of a key on disk.
type diskRecord struct {
	Value json.RawMessage `json:"value"`
	Stamp uint64          `json:"stamp"`
	Lease uint64          `json:"lease,omitempty"`
}

// OpenDisk opens the data in a directory, which it creates if necessary. It fails if another process uses the
// data or a newer release has written it; the error says so.
func OpenDisk(dir string) (*Disk, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	file := filepath.Join(dir, "state.db")
	db, err := bbolt.Open(file, 0o644, &bbolt.Options{Timeout: time.Second})
	if errors.Is(err, bolterrors.ErrTimeout) {
		return nil, fmt.Errorf("%s is in use by another process", file)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	err = db.Update(func(tx *bbolt.Tx) error {
		meta, err := tx.CreateBucketIfNotExists(metaBucket)
		if err != nil {
			return err
		}
		if f := meta.Get(formatKey); f == nil {
			if err := meta.Put(formatKey, encodeUint64(diskFormat)); err != nil {
				return err
			}
		} else if n := binary.BigEndian.Uint64(f); n > diskFormat {
			return fmt.Errorf("%s has format %d, this release reads up to %d: use a newer release", file, n, diskFormat)
		}
		for _, b := range [][]byte{keysBucket, leaseBucket} {
			if _, err := tx.CreateBucketIfNotExists(b); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		_ = db.Close() // the first error is more useful
		return nil, err
	}
	return &Disk{db}, nil
}

func encodeUint64(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// Read returns all stored data.
func (d *Disk) Read() (rev, lastLease uint64, items []kv.Item, leases []kv.Lease, err error) {
	err = d.db.View(func(tx *bbolt.Tx) error {
		if v := tx.Bucket(metaBucket).Get(revKey); v != nil {
			rev = binary.BigEndian.Uint64(v)
			lastLease = binary.BigEndian.Uint64(tx.Bucket(metaBucket).Get(leaseKey))
		}
		err := tx.Bucket(keysBucket).ForEach(func(k, v []byte) error {
			var s diskRecord
			if err := json.Unmarshal(v, &s); err != nil {
				return fmt.Errorf("key %s: %w", k, err)
			}
			items = append(items, kv.Item{Key: string(k), Value: s.Value, Version: s.Stamp, Lease: s.Lease})
			return nil
		})
		if err != nil {
			return err
		}
		return tx.Bucket(leaseBucket).ForEach(func(k, v []byte) error {
			leases = append(leases, kv.Lease{ID: binary.BigEndian.Uint64(k), TTL: units.Microseconds(binary.BigEndian.Uint64(v))})
			return nil
		})
	})
	return rev, lastLease, items, leases, err
}

// Write atomically stores the changes since the last call.
func (d *Disk) Write(service *kv.Service) error {
	type change struct {
		bucket, key, value []byte
	}
	var changes []change
	service.DrainChanged(func(it kv.Item, ok bool) {
		var v []byte
		if ok {
			v, _ = json.Marshal(diskRecord{it.Value, it.Version, it.Lease}) // cannot fail: all fields are plain data
		}
		changes = append(changes, change{keysBucket, []byte(it.Key), v})
	}, func(l kv.Lease, ok bool) {
		var v []byte
		if ok {
			v = encodeUint64(uint64(l.TTL))
		}
		changes = append(changes, change{leaseBucket, encodeUint64(l.ID), v})
	})
	if len(changes) == 0 {
		return nil
	}
	return d.db.Update(func(tx *bbolt.Tx) error {
		for _, c := range changes {
			b := tx.Bucket(c.bucket)
			var err error
			if c.value == nil {
				err = b.Delete(c.key)
			} else {
				err = b.Put(c.key, c.value)
			}
			if err != nil {
				return err
			}
		}
		meta := tx.Bucket(metaBucket)
		if err := meta.Put(leaseKey, encodeUint64(service.LastLeaseID())); err != nil {
			return err
		}
		return meta.Put(revKey, encodeUint64(service.Rev()))
	})
}

// Close closes the files, so that another process can open the directory.
func (d *Disk) Close() error { return d.db.Close() }
