// Package client implements the users' side of the job API. It talks to a controller or to the load balancer
// before them.
package client

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/wire"
)

// maxResponseBytes is the maximum number of bytes that are read of a response.
const maxResponseBytes = 64 << 10

// Client talks to one address.
type Client struct {
	baseURL string
	http    *http.Client
}

// New returns a client for an address, HOST:PORT. Idle connections are closed after a short time, because a
// load balancer cannot move an open connection to another controller.
func New(addr string) *Client {
	return &Client{baseURL: "http://" + addr, http: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 64, IdleConnTimeout: 5 * time.Second, DisableCompression: true}}}
}

// Reply is a response about a job, of any HTTP status.
type Reply struct {
	Code          int
	Status        jobs.Status // for codes 200 and 201
	Done, Running int         // numbers of tasks, in response to Poll
	RetryAfter    units.Microseconds
	Error         string // the reason of a refusal
}

// Submit submits a job. It is idempotent: submitting the job again under the same id is the same request.
func (c *Client) Submit(ctx context.Context, id string, spec *jobs.Spec) (Reply, error) {
	b, err := wire.EncodeSubmission(id, spec)
	if err != nil {
		return Reply{}, err
	}
	return c.call(ctx, http.MethodPost, wire.JobsPath, b)
}

// Poll queries a job's state.
func (c *Client) Poll(ctx context.Context, id string) (Reply, error) {
	return c.call(ctx, http.MethodGet, wire.JobsPath+"/"+id, nil)
}

// Cancel requests the cancellation of a job.
func (c *Client) Cancel(ctx context.Context, id string) (Reply, error) {
	return c.call(ctx, http.MethodPost, wire.JobsPath+"/"+id+"/abort", nil)
}

// call sends a request. A response of any status is returned as a reply, unless it cannot be decoded.
func (c *Client) call(ctx context.Context, method, path string, body []byte) (Reply, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return Reply{}, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return Reply{}, err // a *url.Error, which names the method and the URL
	}
	defer func() { _ = response.Body.Close() }() // already read to its end, or not needed
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return Reply{}, fmt.Errorf("reading the response to %s %s: %w", method, path, err)
	}
	reply := Reply{Code: response.StatusCode}
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil && seconds >= 0 {
		reply.RetryAfter = units.Microseconds(min(seconds, 3600)) * units.Second
	}
	if reply.Code != http.StatusOK && reply.Code != http.StatusCreated {
		reply.Error = wire.ProblemText(text)
		return reply, nil
	}
	job, status, err := wire.DecodeJobStatus(text)
	if err != nil {
		return Reply{}, fmt.Errorf("invalid response to %s %s: %w", method, path, err)
	}
	reply.Status = status
	if job.Done != nil && job.Running != nil {
		reply.Done, reply.Running = *job.Done, *job.Running
	}
	return reply, nil
}

// retryFor is how long Retry repeats a request that no controller accepts.
const retryFor = 60 * time.Second

// ErrRetriesExhausted is wrapped by Retry's error if no attempt had a final response in time.
var ErrRetriesExhausted = errors.New("no controller accepted the request")

// Retry repeats a request, as users do, until it gets a final response, for up to a minute. Codes 200, 201,
// 400, 404 and 422 are final. Between attempts it waits for the response's Retry-After, at least a second and
// at most 30 seconds. timeout limits each attempt. The error wraps ErrRetriesExhausted or is the context's.
func Retry(ctx context.Context, timeout time.Duration, call func(context.Context) (Reply, error)) (Reply, error) {
	start := time.Now()
	for {
		attempt, cancel := context.WithTimeout(ctx, timeout)
		reply, err := call(attempt)
		cancel()
		if err == nil {
			switch reply.Code {
			case http.StatusOK, http.StatusCreated, http.StatusBadRequest, http.StatusNotFound, http.StatusUnprocessableEntity:
				return reply, nil
			}
			err = fmt.Errorf("status %d: %s", reply.Code, reply.Error)
		}
		pause := max(time.Second, time.Duration(min(reply.RetryAfter, 30*units.Second))*time.Microsecond)
		if time.Since(start)+pause > retryFor {
			return reply, fmt.Errorf("%w: %w", ErrRetriesExhausted, err)
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return reply, ctx.Err()
		}
	}
}
