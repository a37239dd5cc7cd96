// Package backup saves the keys of a state service to a file, consistent at one
// revision while the service goes on, and puts them back. It also checks what is in
// either.
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

// A file is a line that names the format, and then zstd frames of records. Every
// frame is a chunk that can be read by itself: a backup that was cut short goes on
// after its last whole one. Before each frame stand its length and its checksum.
//
//	shalestage backup 1\n
//	length (4 bytes) crc32c (4 bytes) zstd frame ...
//
// A record is one line of JSON. The first chunk begins with the head, the last ends
// with the foot, and one without a foot is no whole backup.
const (
	magic     = "shalestage backup 1\n"
	chunkSize = 1 << 20 // of records before compression, about; by default
	maxFrame  = 16 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// record is one line; exactly one of its parts is there.
type record struct {
	Header *Header `json:"head,omitempty"`
	// Keys, in the order in which they were read. A key that comes again replaces
	// the earlier one: it was changed while the listing went on.
	Key     string          `json:"k,omitempty"`
	Value   json.RawMessage `json:"v,omitempty"`
	Deleted bool            `json:"gone,omitempty"` // was removed meanwhile
	// Checkpoint says that the listing is complete up to a key, and the changes up to a
	// revision: from there an interrupted backup goes on.
	Checkpoint *checkpoint `json:"page,omitempty"`
	Footer     *Footer     `json:"foot,omitempty"`
}

// Header says what a backup is of.
type Header struct {
	Format    int    `json:"format"`
	Release   string `json:"release"`
	StartedAt string `json:"began"` // time of day, RFC 3339
	Revision  uint64 `json:"revision"`
}

type checkpoint struct {
	After    string `json:"after"`
	Revision uint64 `json:"revision"`
	Listing  bool   `json:"lists"` // the listing is not complete yet
}

// Footer ends a backup.
type Footer struct {
	Revision uint64 `json:"revision"` // as of which it shows every key
	Lines    int    `json:"lines"`
	EndedAt  string `json:"ended"`
}

// DamageError says where a file cannot be read: at the chunk that begins at Offset, in bytes.
type DamageError struct {
	Offset int64
	Reason string
}

func (d *DamageError) Error() string {
	return fmt.Sprintf("damaged at byte %d: %s", d.Offset, d.Reason)
}

// writer writes records in chunks. Its first error stays.
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
		created.put([]byte(magic))
	}
	return created, created.err
}

func (w *writer) put(b []byte) {
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

// full reports whether a chunk is large enough to be written.
func (w *writer) full() bool { return len(w.buf) >= w.chunk }

// flush writes the chunk.
func (w *writer) flush() error {
	if len(w.buf) == 0 {
		return w.err
	}
	frame := w.enc.EncodeAll(w.buf, nil)
	w.buf = w.buf[:0]
	var head [8]byte
	binary.LittleEndian.PutUint32(head[:4], uint32(len(frame)))
	binary.LittleEndian.PutUint32(head[4:], crc32.Checksum(frame, castagnoli))
	w.put(append(head[:], frame...))
	return w.err
}

// Reader reads a backup, chunk by chunk.
type Reader struct {
	r      *bufio.Reader
	dec    *zstd.Decoder
	offset int64
}

// NewReader begins to read a backup. What is no backup, or of a later format, is
// refused.
func NewReader(r io.Reader) (*Reader, error) {
	dec, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(64<<20))
	if err != nil {
		return nil, err
	}
	reader := &Reader{r: bufio.NewReaderSize(r, 1<<16), dec: dec}
	line := make([]byte, len(magic))
	if _, err := io.ReadFull(reader.r, line); err != nil || string(line) != magic {
		return nil, &DamageError{0, "this is no backup of a format that can be read here"}
	}
	reader.offset = int64(len(magic))
	return reader, nil
}

// chunk reads the next chunk's records. At the end it returns io.EOF.
func (r *Reader) chunk() ([]record, error) {
	start := r.offset
	bad := func(why string) ([]record, error) { return nil, &DamageError{start, why} }
	var head [8]byte
	n, err := io.ReadFull(r.r, head[:])
	if errors.Is(err, io.EOF) {
		return nil, io.EOF
	}
	if err != nil {
		return bad(fmt.Sprintf("the file ends after %d of 8 bytes", n))
	}
	size := binary.LittleEndian.Uint32(head[:4])
	if size > maxFrame {
		return bad(fmt.Sprintf("a chunk of %d bytes", size))
	}
	frame := make([]byte, size)
	if n, err := io.ReadFull(r.r, frame); err != nil {
		return bad(fmt.Sprintf("the file ends after %d of %d bytes", n, size))
	}
	if crc32.Checksum(frame, castagnoli) != binary.LittleEndian.Uint32(head[4:]) {
		return bad("the checksum is wrong")
	}
	text, err := r.dec.DecodeAll(frame, nil)
	if err != nil {
		return bad(err.Error())
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
			return bad(err.Error())
		}
		out = append(out, rec)
		text = text[min(end+1, len(text)):]
	}
	return out, nil
}
