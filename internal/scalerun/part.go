package scalerun

import (
	"net"
	"strconv"
	"strings"
	"time"

	"shalestage.example/shalestage/internal/emulator/link"
)

// ways are the links by which users of one region reach the others. Nothing else passes
// between regions.
type ways struct {
	links map[[2]int]*link.Link
	open  []net.Listener
}

// openWays puts a link before each region's load balancer for the users of each other.
func openWays(fronts []string) (*ways, map[[2]int]string, error) {
	w := &ways{links: map[[2]int]*link.Link{}}
	at := map[[2]int]string{}
	for from := range fronts {
		for to, front := range fronts {
			if from == to {
				continue
			}
			in, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				w.close()
				return nil, nil, err
			}
			l := link.New(front)
			w.open = append(w.open, in)
			w.links[[2]int{from, to}] = l
			at[[2]int{from, to}] = in.Addr().String()
			go func() { _ = l.Serve(in) }() // ends with its listener
		}
	}
	return w, at, nil
}

// pieceTime is more than it takes to deliver a piece that was let through.
const pieceTime = 50 * time.Millisecond

// part lets nothing pass between regions until they are joined.
func (w *ways) part() {
	for _, l := range w.links {
		l.SetImpairment(link.Impairment{Mode: link.Drop, Until: time.Now().Add(maxTotalS * time.Second)}, true, true)
	}
	time.Sleep(pieceTime)
}

// join ends a parting: connections of before are reset, new ones pass.
func (w *ways) join() {
	for _, l := range w.links {
		l.SetImpairment(link.Impairment{}, true, true)
	}
}

// bytes returns how much has passed between regions.
func (w *ways) bytes() (n uint64) {
	for _, l := range w.links {
		there, back := l.Bytes()
		n += there + back
	}
	return n
}

func (w *ways) close() {
	for _, l := range w.open {
		_ = l.Close() // nothing to lose
	}
	for _, l := range w.links {
		l.Close()
	}
}

// isAbroad tells the jobs of users in other regions by their number; those that nobody
// submitted have higher ones.
func isAbroad(id string) bool {
	n, err := strconv.Atoi(strings.TrimPrefix(id, "wk-"))
	return err == nil && n >= firstAbroad && n < firstAbroad+maxRegions*abroadPart
}
