// Package httpjson sends JSON over HTTP to the outside services.
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

// maxAnswer bounds what is read of an answer, in bytes.
const maxAnswer = 64 << 20

// ErrInvalidResponse is wrapped by the error of an answer that is not the JSON that was expected.
var ErrInvalidResponse = errors.New("unreadable answer")

// NewClient returns a client for a service on the same network: maxConns connections at
// most, of which none is waited for long.
func NewClient(maxConns int) *http.Client {
	return &http.Client{Transport: newTransport(maxConns)}
}

// NewOneShotClient returns a client that closes each connection after its answer: for many
// services of which each is asked once.
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

// Do sends a request with a JSON body, or without one where body is nil, and decodes the
// answer into response unless that is nil. An answer of any status is none of its errors; the
// status is 0 where there was no answer. An answer that is not JSON is ErrUnreadable, unless
// its status is 500 or more: such a one may come from something on the way.
func Do(ctx context.Context, client *http.Client, method, url string, body, response any) (status int, err error) {
	request, err := newRequest(ctx, method, url, body)
	if err != nil {
		return 0, err
	}
	answer, err := client.Do(request)
	if err != nil {
		return 0, err // a *url.Error, which names the method and the URL
	}
	defer func() { _ = answer.Body.Close() }() // read to its end, or of no more use
	text, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswer))
	if err != nil {
		return answer.StatusCode, fmt.Errorf("reading the answer to %s %s: %w", method, url, err)
	}
	if response == nil || len(text) == 0 || answer.StatusCode >= http.StatusInternalServerError && !json.Valid(text) {
		return answer.StatusCode, nil
	}
	if err := json.Unmarshal(text, response); err != nil {
		return answer.StatusCode, fmt.Errorf("%w: %w", ErrInvalidResponse, err)
	}
	return answer.StatusCode, nil
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
