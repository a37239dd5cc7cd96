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

// Prefix is where configurations are stored.
const Prefix = keys.ConfigPrefix

const (
	// HeadKey names the stored version.
	HeadKey       = Prefix + "head"
	chunkPrefix   = Prefix + "chunk/"
	historyPrefix = Prefix + "past/"
	// MaxHistory is how many of the last versions history tells of.
	MaxHistory = 32
	maxBuckets  = 256
	// valueSlack is what a value stays below the service's limit.
	valueSlack = 64
)

// head is the record that says which version is stored. Whoever stores another guards the
// head's version in the state service.
type head struct {
	Version uint64   `json:"version"`
	ID      string   `json:"id"` // of the change that made it
	Chunks  []string `json:"chunks"`
}

// teamRecord, objectiveRecord and chunk are how a configuration is stored.
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

// HistoryEntry tells of a version.
type HistoryEntry struct {
	Version uint64             `json:"version"`
	ID      string             `json:"id"`
	By      string             `json:"by"`
	At      units.Microseconds `json:"at"` // time of day
	Summary    string             `json:"what"`
}

func chunkKey(name string) string { return chunkPrefix + name }

func historyKey(version uint64) string {
	return fmt.Sprintf("%s%02d", historyPrefix, version%MaxHistory)
}

// encoded is a content in its stored form: chunks by name, in the order in which the head
// names them.
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

// encode returns a content's stored form, of which no value is larger than some bytes. Teams
// are spread over buckets by their names, so that a change of one team changes one chunk.
func encode(content Content, valueMax int) (encoded, error) {
	valueBytes := valueMax - valueSlack
	for buckets := 1; buckets <= maxBuckets; buckets *= 2 {
		result, ok := encodeIn(content, buckets, valueBytes)
		if !ok {
			continue
		}
		if n := len(store.Value(head{Version: 1 << 62, ID: strings.Repeat("x", maxID), Chunks: result.names})); n > valueBytes {
			return encoded{}, invalid("teams", "too many for values of %d bytes: their list takes %d", valueMax, n)
		}
		return result, nil
	}
	return encoded{}, invalid("teams", "too many for values of %d bytes", valueMax)
}

func encodeIn(content Content, buckets, valueBytes int) (result encoded, ok bool) {
	result.values = map[string]json.RawMessage{}
	parts := make([]chunk, buckets)
	for _, t := range content.Teams {
		hash := fnv.New32a()
		_, _ = hash.Write([]byte(t.Name)) // cannot fail
		p := &parts[hash.Sum32()%uint32(buckets)]
		p.Teams = append(p.Teams, teamRecord{t.Name, t.Guarantee[binpack.CPU], t.Limit[binpack.CPU], t.Guarantee[binpack.GPU], t.Limit[binpack.GPU], t.Removed})
	}
	// Objectives keep their order; a chunk is closed when the next does not fit.
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

// errIncomplete says that not all records of a version are there.
var errIncomplete = errors.New("a chunk is missing")

// decode joins the chunks that a head names.
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

// ReadStored returns the version that a set of records holds and its content; version 0: none is
// stored whole.
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

// CheckRecord reports why a record under Prefix cannot be read.
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
