// Package rest sends JSON over HTTP to the outside services.
package rest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// maxAnswer bounds what is read of an answer.
const maxAnswer = 64 << 20

// NewClient returns a client for a service on the same network: few
// connections, and none waited for long.
func NewClient(conns int) *http.Client {
	return &http.Client{Transport: newTransport(conns)}
}

func newTransport(conns int) *http.Transport {
	d := net.Dialer{Timeout: time.Second, KeepAlive: -1}
	return &http.Transport{
		DialContext:         d.DialContext,
		MaxIdleConnsPerHost: conns,
		MaxConnsPerHost:     conns,
		IdleConnTimeout:     90 * time.Second,
		DisableCompression:  true,
	}
}

// NewOneShotClient returns a client that closes each connection after its answer: for many
// services of which each is asked once.
func NewOneShotClient() *http.Client {
	transport := newTransport(1)
	transport.DisableKeepAlives = true
	return &http.Client{Transport: transport}
}

// Do sends a JSON request and reads a JSON answer. Answers that cannot be read are errors.
func Do(ctx context.Context, hc *http.Client, method, url string, body, into any) (int, error) {
	var rd io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return 0, err
		}
		rd = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, rd)
	if err != nil {
		return 0, err
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := hc.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return resp.StatusCode, err
	}
	if into != nil && len(b) > 0 && (resp.StatusCode < 500 || json.Valid(b)) {
		if err := json.Unmarshal(b, into); err != nil {
			return resp.StatusCode, fmt.Errorf("unreadable answer: %w", err)
		}
	}
	return resp.StatusCode, nil
}
