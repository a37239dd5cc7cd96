package jobs

import (
	"fmt"
	"strconv"
	"strings"
)

// Set is a set of small non-negative integers, stored as a bitmap. The zero value is an empty set.
type Set struct {
	bits  []uint64
	count int
}

// Has reports whether i is in the set.
func (s *Set) Has(i int) bool {
	return i/64 < len(s.bits) && s.bits[i/64]&(1<<(i%64)) != 0
}

// Add adds i to the set and reports whether it was not in the set before.
func (s *Set) Add(i int) bool {
	if s.Has(i) {
		return false
	}
	for len(s.bits) <= i/64 {
		s.bits = append(s.bits, 0)
	}
	s.bits[i/64] |= 1 << (i % 64)
	s.count++
	return true
}

// Len returns the number of members.
func (s *Set) Len() int { return s.count }

// Ranges returns the members in [first, end) as text such as "0-4,7", relative to first.
func (s *Set) Ranges(first, end int) string { return s.rangesFrom(first, first, end) }

// rangesFrom returns the members in [first, end) as text, relative to base.
func (s *Set) rangesFrom(base, first, end int) string {
	var b strings.Builder
	for i := first; i < end; {
		if !s.Has(i) {
			if i%64 == 0 && (i/64 >= len(s.bits) || s.bits[i/64] == 0) {
				i += 64
			} else {
				i++
			}
			continue
		}
		j := i
		for j+1 < end && s.Has(j+1) {
			j++
		}
		if b.Len() > 0 {
			b.WriteByte(',')
		}
		b.WriteString(strconv.Itoa(i - base))
		if j > i {
			b.WriteByte('-')
			b.WriteString(strconv.Itoa(j - base))
		}
		i = j + 1
	}
	return b.String()
}

// AddRanges adds the members that Ranges encoded relative to first. It returns an
// error, and adds nothing, if the text is malformed or reaches end.
func (s *Set) AddRanges(text string, first, end int) error {
	if text == "" {
		return nil
	}
	type span struct{ a, b int }
	var spans []span
	for _, part := range strings.Split(text, ",") {
		start, stop, isRange := strings.Cut(part, "-")
		if !isRange {
			stop = start
		}
		a, err1 := strconv.Atoi(start)
		b, err2 := strconv.Atoi(stop)
		if err1 != nil || err2 != nil || a < 0 || b < a || first+b >= end {
			return fmt.Errorf("invalid range %q", part)
		}
		spans = append(spans, span{a, b})
	}
	for _, sp := range spans {
		for i := sp.a; i <= sp.b; i++ {
			s.Add(first + i)
		}
	}
	return nil
}
