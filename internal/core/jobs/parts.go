package jobs

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"strings"
	"unicode/utf8"

	"shalestage.example/shalestage/internal/core/store"
)

// MaxParts bounds the parts of one description, far above what a submission of
// the longest allowed kind needs.
const MaxParts = 256

// part is the stored value of one part of a description.
type part struct {
	Text string `json:"text"`
}

// Encode returns a record's stored form. The description of a job that is
// stored in parts stays where it is.
func (r Record) Encode() json.RawMessage {
	if r.Parts > 0 {
		r.Spec = nil
	}
	return store.Value(r)
}

// sumOf names a description by its content.
func sumOf(text string) string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text))
	return fmt.Sprintf("%016x", h.Sum64())
}

// Split divides a description among values of at most limit bytes, and returns
// the record that refers to them. The parts are named by their content: two
// tries to store the same job write the same, and those with another body do not
// meet. They are stored before the record, which alone makes the job visible.
func (r Record) Split(limit int) (Record, []json.RawMessage) {
	text := string(store.Value(r.Spec))
	r.Sum = sumOf(text)
	var parts []json.RawMessage
	step := (limit - len(`{"text":""}`)) / 2 // quoted once more, a byte becomes two at most
	for len(text) > 0 {
		n := min(step, len(text))
		for n < len(text) && n > 0 && !utf8.RuneStart(text[n]) {
			n--
		}
		parts = append(parts, store.Value(part{text[:n]}))
		text = text[n:]
	}
	r.Parts = len(parts)
	return r, parts
}

// PartText reads one stored part.
func PartText(b []byte) (string, error) {
	var p part
	err := json.Unmarshal(b, &p)
	return p.Text, err
}

// Join adds a description from its parts to a record.
func (r *Record) Join(texts []string) error {
	text := strings.Join(texts, "")
	if sumOf(text) != r.Sum {
		return errors.New("the parts are not those of the description")
	}
	var s Spec
	if err := json.Unmarshal([]byte(text), &s); err != nil {
		return err
	}
	r.Spec = &s
	return r.check()
}
