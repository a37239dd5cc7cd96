// Package httpjson sends JSON requests over HTTP to the external services.
package httpjson

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// maxResponseBytes is the maximum number of bytes that are read of a response.
const maxResponseBytes = 64 << 20

// ErrInvalidResponse is wrapped by the error for a response that is not the expected JSON.
var ErrInvalidResponse = errors.New("invalid response")

// NewClient returns a client for a service on the same network. It opens at most maxConns connections, and
// gives up after a second if one cannot be established.
func NewClient(maxConns int) *http.Client {
	return &http.Client{Transport: newTransport(maxConns)}
}

// NewOneShotClient returns a client that closes each connection after the response. It is meant for requests to
// many services, each of which gets a single one.
func NewOneShotClient() *http.Client {
	transport := newTransport(1)
	transport.DisableKeepAlives = true
	return &http.Client{Transport: transport}
}

func newTransport(maxConns int) *http.Transport {
	dialer := net.Dialer{Timeout: time.Second, KeepAlive: -1}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxConns,
		MaxConnsPerHost:     maxConns,
		IdleConnTimeout:     90 * time.Second,
		DisableCompression:  true,
	}
}

// Do sends a request with a JSON body, or without one if body is nil, and decodes the body of the reply into
// response unless that is nil. No HTTP status is an error by itself; the status is 0 if there was no reply.
// A reply that is not the expected JSON is an ErrInvalidResponse. If its status is 500 or higher and it is
// not JSON at all, it may come from a proxy on the way: then only the status is returned.
func Do(ctx context.Context, client *http.Client, method, url string, body, response any) (status int, err error) {
	request, err := newRequest(ctx, method, url, body)
	if err != nil {
		return 0, err
	}
	received, err := client.Do(request)
	if err != nil {
		return 0, err // a *url.Error, which names the method and the URL
	}
	defer func() { _ = received.Body.Close() }() // already read to its end, or not needed
	text, err := io.ReadAll(io.LimitReader(received.Body, maxResponseBytes))
	if err != nil {
		return received.StatusCode, fmt.Errorf("reading the response to %s %s: %w", method, url, err)
	}
	if response == nil || len(text) == 0 || received.StatusCode >= http.StatusInternalServerError && !json.Valid(text) {
		return received.StatusCode, nil
	}
	if err := json.Unmarshal(text, response); err != nil {
		return received.StatusCode, fmt.Errorf("%w: %w", ErrInvalidResponse, err)
	}
	return received.StatusCode, nil
}

func newRequest(ctx context.Context, method, url string, body any) (*http.Request, error) {
	if body == nil {
		return http.NewRequestWithContext(ctx, method, url, nil)
	}
	text, err := json.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encoding the body of %s %s: %w", method, url, err)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(text))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}
