// Package backup saves the keys of a running state service to a file, as a snapshot that is consistent at one
// revision, and restores them. It also audits the contents of a state service or of a backup.
package backup

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"

	"github.com/klauspost/compress/zstd"
)

// A backup file starts with a line that names the format. zstd frames of records follow. Each frame is a chunk
// that can be decoded independently, so that an interrupted backup can resume after its last complete chunk. Each
// frame is preceded by its length and checksum, both little-endian.
//
//	shalestage backup 1\n
//	length (4 bytes) crc32c (4 bytes) zstd frame ...
//
// A record is one line of JSON. The first chunk begins with the header and the last ends with the footer. A file
// without a footer is an incomplete backup.
const (
	magic     = "shalestage backup 1\n"
	chunkSize = 1 << 20  // approximate bytes of records per chunk before compression, by default
	maxFrame  = 16 << 20 // bytes
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// record is one line. It has exactly one of Header, Key, Checkpoint and Footer.
type record struct {
	Header *Header `json:"head,omitempty"`
	// Keys are in the order in which they were read. A repeated key replaces the earlier record, because the key
	// changed during the listing.
	Key     string          `json:"k,omitempty"`
	Value   json.RawMessage `json:"v,omitempty"`
	Deleted bool            `json:"gone,omitempty"` // the key was deleted during the listing
	// Checkpoint records that the listing is complete up to a key, and the changes up to a revision. An interrupted
	// backup resumes from there.
	Checkpoint *checkpoint `json:"page,omitempty"`
	Footer     *Footer     `json:"foot,omitempty"`
}

// Header describes a backup.
type Header struct {
	Format    int    `json:"format"`
	Release   string `json:"release"`
	StartedAt string `json:"began"` // RFC 3339
	Revision  uint64 `json:"revision"`
}

type checkpoint struct {
	After    string `json:"after"`
	Revision uint64 `json:"revision"`
	Listing  bool   `json:"lists"` // the listing is not complete yet
}

// Footer is the last record of a complete backup.
type Footer struct {
	Revision uint64 `json:"revision"` // at which the backup is consistent
	Lines    int    `json:"lines"`
	EndedAt  string `json:"ended"`
}

// DamageError reports that a backup is corrupt. Offset is the position in bytes of the chunk that cannot be read.
type DamageError struct {
	Offset int64
	Reason string
}

func (d *DamageError) Error() string {
	return fmt.Sprintf("damaged at byte %d: %s", d.Offset, d.Reason)
}

// writer writes records in chunks. After the first error it writes nothing more and keeps returning that error.
type writer struct {
	w     io.Writer
	chunk int
	enc   *zstd.Encoder
	buf   []byte
	err   error
}

func newWriter(w io.Writer, fresh bool, chunk int) (*writer, error) {
	enc, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(1<<20))
	if err != nil {
		return nil, err
	}
	created := &writer{w: w, enc: enc, chunk: chunk}
	if fresh {
		created.write([]byte(magic))
	}
	return created, created.err
}

func (w *writer) write(b []byte) {
	if w.err == nil {
		_, w.err = w.w.Write(b)
	}
}

func (w *writer) add(r record) {
	b, err := json.Marshal(r)
	if err != nil {
		w.err = errors.Join(w.err, err)
		return
	}
	w.buf = append(append(w.buf, b...), '\n')
}

// full reports whether the current chunk has reached its size.
func (w *writer) full() bool { return len(w.buf) >= w.chunk }

// flush writes the current chunk, if it is not empty.
func (w *writer) flush() error {
	if len(w.buf) == 0 {
		return w.err
	}
	frame := w.enc.EncodeAll(w.buf, nil)
	w.buf = w.buf[:0]
	var prefix [8]byte
	binary.LittleEndian.PutUint32(prefix[:4], uint32(len(frame)))
	binary.LittleEndian.PutUint32(prefix[4:], crc32.Checksum(frame, castagnoli))
	w.write(append(prefix[:], frame...))
	return w.err
}

// Reader reads a backup chunk by chunk.
type Reader struct {
	r      *bufio.Reader
	dec    *zstd.Decoder
	offset int64
}

// NewReader returns a reader of a backup. It returns a *DamageError if the file is not a backup or has an
// unsupported format.
func NewReader(r io.Reader) (*Reader, error) {
	dec, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(64<<20))
	if err != nil {
		return nil, err
	}
	reader := &Reader{r: bufio.NewReaderSize(r, 1<<16), dec: dec}
	line := make([]byte, len(magic))
	if _, err := io.ReadFull(reader.r, line); err != nil || string(line) != magic {
		return nil, &DamageError{0, "not a backup in a supported format"}
	}
	reader.offset = int64(len(magic))
	return reader, nil
}

// nextChunk returns the records of the next chunk, or io.EOF at the end of the file.
func (r *Reader) nextChunk() ([]record, error) {
	start := r.offset
	corrupt := func(why string) ([]record, error) { return nil, &DamageError{start, why} }
	var prefix [8]byte
	n, err := io.ReadFull(r.r, prefix[:])
	if errors.Is(err, io.EOF) {
		return nil, io.EOF
	}
	if err != nil {
		return corrupt(fmt.Sprintf("the file ends after %d of 8 bytes of a chunk header", n))
	}
	size := binary.LittleEndian.Uint32(prefix[:4])
	if size > maxFrame {
		return corrupt(fmt.Sprintf("the chunk size of %d bytes exceeds the maximum", size))
	}
	frame := make([]byte, size)
	if n, err := io.ReadFull(r.r, frame); err != nil {
		return corrupt(fmt.Sprintf("the file ends after %d of %d bytes of a chunk", n, size))
	}
	if crc32.Checksum(frame, castagnoli) != binary.LittleEndian.Uint32(prefix[4:]) {
		return corrupt("checksum mismatch")
	}
	text, err := r.dec.DecodeAll(frame, nil)
	if err != nil {
		return corrupt(err.Error())
	}
	r.offset += 8 + int64(size)
	var out []record
	for len(text) > 0 {
		end := 0
		for end < len(text) && text[end] != '\n' {
			end++
		}
		var rec record
		if err := json.Unmarshal(text[:end], &rec); err != nil {
			return corrupt(err.Error())
		}
		out = append(out, rec)
		text = text[min(end+1, len(text)):]
	}
	return out, nil
}
