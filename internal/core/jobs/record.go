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

// Record is a job's value in the state service. For a final job only the status and the
// number of tasks are kept, plus the end time of a done job, and the team and demand of a
// cancelled one, whose tasks may still be running when the shard gets its next owner.
type Record struct {
	Status     Status             `json:"status"`
	Shard      int                `json:"block,omitempty"` // the shard whose owner schedules the job
	Tasks      int                `json:"tasks"`
	Team       string             `json:"team,omitempty"`
	Demand     binpack.Vec        `json:"demand,omitzero"`
	Submitted  units.Microseconds `json:"submitted,omitempty"` // time of day
	FinishedAt units.Microseconds `json:"ended,omitempty"`     // time of day; 0: not known (releases before 0.3)
	Spec       *Spec              `json:"spec,omitempty"`
	// A job spec that does not fit into one value is stored in this number
	// of chunks. Checksum is the checksum of the encoded spec, see Split.
	Chunks   int    `json:"parts,omitempty"`
	Checksum string `json:"sum,omitempty"`
}

// Errors of unusable stored records.
var (
	errNoSpec         = errors.New("no usable job spec")
	errUnusableChunks = errors.New("unusable chunks of a job spec")
	errChecksum       = errors.New("checksum of the chunks does not match the record")
)

// DecodeRecord decodes and checks a stored record. If the job spec is stored in chunks, it
// is still missing, and the record cannot be used before Join has added it.
func DecodeRecord(b []byte) (Record, error) {
	var record Record
	err := json.Unmarshal(b, &record)
	switch {
	case err != nil:
		err = fmt.Errorf("decode the record: %w", err)
	case record.Status.Final():
		record.Spec, record.Chunks, record.Checksum = nil, 0, ""
	case record.Status != Pending:
		err = fmt.Errorf("invalid status %q", record.Status)
	case record.Chunks < 0 || record.Chunks > MaxChunks || record.Chunks > 0 && (record.Checksum == "" || record.Spec != nil):
		err = errUnusableChunks
	case record.Chunks == 0:
		err = record.check()
	}
	return record, err
}

// check returns an error if the record of an unfinished job cannot be used.
func (r *Record) check() error {
	if r.Spec == nil || !r.Spec.Valid() || r.Tasks != r.Spec.Tasks || r.Shard < 0 {
		return errNoSpec
	}
	return nil
}

// MaxChunks limits the number of chunks of one job spec. It is far
// above what the longest allowed submission needs.
const MaxChunks = 256

// chunk is the stored value of one chunk of a job spec.
type chunk struct {
	Text string `json:"text"`
}

// Encode returns the record's stored form. It leaves out a job spec that is stored in chunks.
func (r Record) Encode() json.RawMessage {
	if r.Chunks > 0 {
		r.Spec = nil
	}
	return store.Value(r)
}

// checksumOf returns a hash of an encoded job spec, which names its chunks.
func checksumOf(text string) string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text))
	return fmt.Sprintf("%016x", h.Sum64())
}

// Split divides the job spec into values of at most limit bytes, and returns them with the
// record that refers to them. The chunks are named by the checksum of the spec: two attempts to
// store the same job write the same chunks, and attempts with different specs write different
// keys. The chunks are stored before the record, which alone makes the job visible.
func (r Record) Split(limit int) (Record, []json.RawMessage) {
	text := string(store.Value(r.Spec))
	r.Checksum = checksumOf(text)
	var chunks []json.RawMessage
	step := (limit - len(`{"text":""}`)) / 2 // the second JSON encoding at most doubles the length of the text
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

// ChunkText decodes one stored chunk.
func ChunkText(b []byte) (string, error) {
	var c chunk
	if err := json.Unmarshal(b, &c); err != nil {
		return "", fmt.Errorf("decode a chunk of a job spec: %w", err)
	}
	return c.Text, nil
}

// Join decodes a job spec from the texts of its chunks and adds it to the record.
// It returns an error if the texts do not match the record's checksum.
func (r *Record) Join(texts []string) error {
	text := strings.Join(texts, "")
	if checksumOf(text) != r.Checksum {
		return errChecksum
	}
	var spec Spec
	if err := json.Unmarshal([]byte(text), &spec); err != nil {
		return fmt.Errorf("decode a job spec in chunks: %w", err)
	}
	r.Spec = &spec
	return r.check()
}
