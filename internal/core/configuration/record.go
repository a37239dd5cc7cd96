package configuration

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"slices"
	"strings"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/demand"
	"shalestage.example/shalestage/internal/core/keys"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

// Prefix is the key prefix of all records of the configuration.
const Prefix = keys.ConfigPrefix

const (
	// HeadKey is the key of the head record.
	HeadKey       = Prefix + "head"
	chunkPrefix   = Prefix + "chunk/"
	historyPrefix = Prefix + "past/"
	// MaxHistory is the number of versions in the history. A version's entry overwrites the one of
	// MaxHistory versions before.
	MaxHistory = 32
	maxBuckets = 256
	// valueMargin is by how many bytes a value stays below the state service's limit.
	valueMargin = 64
)

// head is the record that says which version is stored. Writes of another version are guarded by the version
// of the head's key in the state service (compare-and-swap).
type head struct {
	Version uint64   `json:"version"`
	ID      string   `json:"id"` // of the batch of changes that created it
	Chunks  []string `json:"chunks"`
}

// teamRecord, objectiveRecord and chunk are the stored form of a configuration. Amounts are in thousandths.
type teamRecord struct {
	Name    string             `json:"name"`
	CPU     int64              `json:"cpu,omitempty"`
	CPUMax  int64              `json:"cpu_max,omitempty"`
	GPU     int64              `json:"gpu,omitempty"`
	GPUMax  int64              `json:"gpu_max,omitempty"`
	Removed units.Microseconds `json:"removed,omitempty"`
}

type objectiveRecord struct {
	Kind   string             `json:"kind"`
	Class  string             `json:"class,omitempty"`
	Within units.Microseconds `json:"within,omitempty"`
	Times  float64            `json:"times,omitempty"`
	Share  float64            `json:"share,omitempty"`
}

type chunk struct {
	Teams      []teamRecord      `json:"teams,omitempty"`
	Objectives []objectiveRecord `json:"objectives,omitempty"`
}

// HistoryEntry describes a version in the history.
type HistoryEntry struct {
	Version uint64             `json:"version"`
	ID      string             `json:"id"`
	By      string             `json:"by"`
	At      units.Microseconds `json:"at"` // time of day
	Summary string             `json:"what"`
}

func chunkKey(name string) string { return chunkPrefix + name }

func historyKey(version uint64) string {
	return fmt.Sprintf("%s%02d", historyPrefix, version%MaxHistory)
}

// encoded is a content in its stored form: the values of the chunks by name, and the names in the order
// of the head's list.
type encoded struct {
	names  []string
	values map[string]json.RawMessage
}

func (e *encoded) add(c chunk) {
	value := store.Value(c)
	sum := sha256.Sum256(value)
	name := base64.RawURLEncoding.EncodeToString(sum[:12])
	e.names = append(e.names, name)
	e.values[name] = value
}

// encode returns a content's stored form, in which no value is larger than maxValueBytes. Teams are distributed
// over buckets by a hash of their names, so that a change of one team changes one chunk. It returns an
// *Invalid if the content is too large.
func encode(content Content, maxValueBytes int) (encoded, error) {
	valueBytes := maxValueBytes - valueMargin
	for buckets := 1; buckets <= maxBuckets; buckets *= 2 {
		result, ok := encodeInBuckets(content, buckets, valueBytes)
		if !ok {
			continue
		}
		if n := len(store.Value(head{Version: 1 << 62, ID: strings.Repeat("x", maxIDBytes), Chunks: result.names})); n > valueBytes {
			return encoded{}, invalid("teams", "too many for values of %d bytes: their list takes %d", maxValueBytes, n)
		}
		return result, nil
	}
	return encoded{}, invalid("teams", "too many for values of %d bytes", maxValueBytes)
}

// encodeInBuckets encodes a content with its teams in a given number of buckets. ok is false if a chunk would be
// larger than valueBytes.
func encodeInBuckets(content Content, buckets, valueBytes int) (result encoded, ok bool) {
	result.values = map[string]json.RawMessage{}
	parts := make([]chunk, buckets)
	for _, t := range content.Teams {
		hash := fnv.New32a()
		_, _ = hash.Write([]byte(t.Name)) // cannot fail
		p := &parts[hash.Sum32()%uint32(buckets)]
		p.Teams = append(p.Teams, teamRecord{t.Name, t.Guarantee[binpack.CPU], t.Limit[binpack.CPU], t.Guarantee[binpack.GPU], t.Limit[binpack.GPU], t.Removed})
	}
	// Objectives keep their order. A new chunk begins where the next objective does not fit.
	var list chunk
	for i, o := range content.Objectives {
		next := append(slices.Clone(list.Objectives), objectiveRecord{string(o.Kind), o.Class, o.Within, o.Times, o.Share})
		if i > 0 && len(store.Value(chunk{Objectives: next})) > valueBytes {
			parts = append(parts, list)
			next = next[len(next)-1:]
		}
		list.Objectives = next
	}
	for _, p := range append(parts, list) {
		if len(p.Teams)+len(p.Objectives) == 0 {
			continue
		}
		if len(store.Value(p)) > valueBytes {
			return result, false
		}
		result.add(p)
	}
	return result, true
}

// errIncomplete is returned by decode if a chunk of the version has not arrived.
var errIncomplete = errors.New("a chunk is missing")

// decode returns the content whose chunks a head lists. value returns the chunk with a name, nil if there is
// none.
func decode(h head, value func(name string) json.RawMessage) (Content, error) {
	var content Content
	for _, name := range h.Chunks {
		v := value(name)
		if v == nil {
			return Content{}, errIncomplete
		}
		var p chunk
		if err := json.Unmarshal(v, &p); err != nil {
			return Content{}, err
		}
		for _, t := range p.Teams {
			content.Teams = append(content.Teams, Team{t.Name, binpack.Vec{t.CPU, t.GPU}, binpack.Vec{t.CPUMax, t.GPUMax}, t.Removed})
		}
		for _, o := range p.Objectives {
			content.Objectives = append(content.Objectives, Objective{Kind: demand.ObjectiveKind(o.Kind), Class: o.Class, Within: o.Within, Times: o.Times, Share: o.Share})
		}
	}
	if len(content.Teams) == 0 {
		return Content{}, errors.New("has no teams")
	}
	return content.sorted(), nil
}

// ReadStored returns the stored version and its content from a set of records. It returns version 0 if there is
// none, or if it is incomplete.
func ReadStored(value func(key string) json.RawMessage) (uint64, Content) {
	var h head
	if v := value(HeadKey); v == nil || json.Unmarshal(v, &h) != nil {
		return 0, Content{}
	}
	c, err := decode(h, func(name string) json.RawMessage { return value(chunkKey(name)) })
	if err != nil {
		return 0, Content{}
	}
	return h.Version, c
}

// CheckRecord returns an error if a record under Prefix cannot be decoded.
func CheckRecord(key string, value json.RawMessage) error {
	switch {
	case key == HeadKey:
		return json.Unmarshal(value, &head{})
	case strings.HasPrefix(key, chunkPrefix):
		return json.Unmarshal(value, &chunk{})
	case strings.HasPrefix(key, historyPrefix):
		return json.Unmarshal(value, &HistoryEntry{})
	}
	return errors.New("no record of a configuration")
}
