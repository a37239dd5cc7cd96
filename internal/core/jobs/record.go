package jobs

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"strings"
	"unicode/utf8"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

// Record is a job's value in the state service. Once a job is final only the
// status and the number of tasks are kept, of a done job when it ended, and of a
// cancelled one what its tasks take, as some may still be running when the shard
// gets its next owner.
type Record struct {
	Status     Status             `json:"status"`
	Shard      int                `json:"block,omitempty"` // whose owner schedules the job
	Tasks      int                `json:"tasks"`
	Team       string             `json:"team,omitempty"`
	Demand     binpack.Vec        `json:"demand,omitzero"`
	Submitted  units.Microseconds `json:"submitted,omitempty"` // time of day
	FinishedAt units.Microseconds `json:"ended,omitempty"`     // time of day; 0: not known (releases before 0.3)
	Spec       *Spec              `json:"spec,omitempty"`
	// A description that does not fit one value is stored in chunks, see Split.
	Chunks   int    `json:"parts,omitempty"`
	Checksum string `json:"sum,omitempty"`
}

// What makes a stored record unusable.
var (
	errNoDescription  = errors.New("no usable description")
	errUnusableChunks = errors.New("unusable chunks of a description")
	errChecksum       = errors.New("the chunks are not those of the description")
)

// DecodeRecord reads a stored record. Where the description is stored in chunks
// it is still missing, and the record is of use only once Join has added it.
func DecodeRecord(b []byte) (Record, error) {
	var record Record
	err := json.Unmarshal(b, &record)
	switch {
	case err != nil:
		err = fmt.Errorf("decode the record: %w", err)
	case record.Status.Final():
		record.Spec, record.Chunks, record.Checksum = nil, 0, ""
	case record.Status != Pending:
		err = fmt.Errorf("status %q", record.Status)
	case record.Chunks < 0 || record.Chunks > MaxChunks || record.Chunks > 0 && (record.Checksum == "" || record.Spec != nil):
		err = errUnusableChunks
	case record.Chunks == 0:
		err = record.check()
	}
	return record, err
}

// check reports why a record of an unfinished job cannot be worked with.
func (r *Record) check() error {
	if r.Spec == nil || !r.Spec.Valid() || r.Tasks != r.Spec.Tasks || r.Shard < 0 {
		return errNoDescription
	}
	return nil
}

// MaxChunks bounds the chunks of one description, far above what a submission of
// the longest allowed kind needs.
const MaxChunks = 256

// chunk is the stored value of one chunk of a description.
type chunk struct {
	Text string `json:"text"`
}

// Encode returns a record's stored form. The description of a job that is
// stored in chunks stays where it is.
func (r Record) Encode() json.RawMessage {
	if r.Chunks > 0 {
		r.Spec = nil
	}
	return store.Value(r)
}

// checksumOf names a description by its content.
func checksumOf(text string) string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text))
	return fmt.Sprintf("%016x", h.Sum64())
}

// Split divides a description among values of at most limit bytes, and returns
// the record that refers to them. The chunks are named by their content: two
// tries to store the same job write the same, and those with another body do not
// meet. They are stored before the record, which alone makes the job visible.
func (r Record) Split(limit int) (Record, []json.RawMessage) {
	text := string(store.Value(r.Spec))
	r.Checksum = checksumOf(text)
	var chunks []json.RawMessage
	step := (limit - len(`{"text":""}`)) / 2 // quoted once more, a byte becomes two at most
	for len(text) > 0 {
		n := min(step, len(text))
		for n < len(text) && n > 0 && !utf8.RuneStart(text[n]) {
			n--
		}
		chunks = append(chunks, store.Value(chunk{text[:n]}))
		text = text[n:]
	}
	r.Chunks = len(chunks)
	return r, chunks
}

// ChunkText reads one stored chunk.
func ChunkText(b []byte) (string, error) {
	var c chunk
	if err := json.Unmarshal(b, &c); err != nil {
		return "", fmt.Errorf("decode a chunk of a description: %w", err)
	}
	return c.Text, nil
}

// Join adds a description from its chunks to a record.
func (r *Record) Join(texts []string) error {
	text := strings.Join(texts, "")
	if checksumOf(text) != r.Checksum {
		return errChecksum
	}
	var spec Spec
	if err := json.Unmarshal([]byte(text), &spec); err != nil {
		return fmt.Errorf("decode a description in chunks: %w", err)
	}
	r.Spec = &spec
	return r.check()
}
