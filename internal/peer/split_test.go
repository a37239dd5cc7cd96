package peer

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"shalestage.example/shalestage/internal/core"
)

// TestSplit has controllers' frames and operators' requests arrive on one address, while
// other connections say nothing or are slow to.
func TestSplit(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	frames, web := Split(ln)
	heard := make(chan any, 1)
	go (&Link{}).Serve(frames, func(_ string, m any) { heard <- m })
	go http.Serve(web, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		_, _ = w.Write(append([]byte(r.Method+" "+r.URL.Path+" "), b...))
	}))
	for range 3 {
		mute, err := net.Dial("tcp4", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer mute.Close()
		_, _ = mute.Write([]byte("PO"))
	}
	for _, m := range []string{"GET", "PUT", "POST"} {
		r, _ := http.NewRequest(m, "http://"+addr+"/config", strings.NewReader("body"))
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		if b, _ := io.ReadAll(resp.Body); string(b) != m+" /config body" {
			t.Errorf("%s: %q", m, b)
		}
		resp.Body.Close()
	}
	c, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	b, err := Encode("me", core.PeerStatus{Config: 7})
	if err != nil {
		t.Fatal(err)
	}
	for _, part := range [][]byte{b[:2], b[2:9], b[9:]} {
		_, _ = c.Write(part)
		time.Sleep(10 * time.Millisecond)
	}
	select {
	case m := <-heard:
		if s, ok := m.(core.PeerStatus); !ok || s.Config != 7 {
			t.Errorf("%+v", m)
		}
	case <-time.After(10 * time.Second):
		t.Error("the frame was not heard")
	}
	ln.Close()
	if _, err := frames.Accept(); err == nil {
		t.Error("accepts after its listener ended")
	}
}
