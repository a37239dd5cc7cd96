// Package client speaks the users' side of the protocol to any controllers, or to
// their load balancer.
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

// maxAnswer bounds what is read of an answer, in bytes.
const maxAnswer = 64 << 10

// Client talks to one address.
type Client struct {
	baseURL string
	http    *http.Client
}

// New returns a client of an address, HOST:PORT. Connections are kept open for a short time only: a load
// balancer never moves an open one.
func New(addr string) *Client {
	return &Client{baseURL: "http://" + addr, http: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 64, IdleConnTimeout: 5 * time.Second, DisableCompression: true}}}
}

// Reply is an answer about a job.
type Reply struct {
	Code          int
	Status        jobs.Status // of a 200 or 201
	Done, Running int         // tasks, of a poll
	RetryAfter    units.Microseconds
	Error         string // what a refusal says
}

// Submit submits a job. Submitting it again under the same id is the same request.
func (c *Client) Submit(ctx context.Context, id string, spec *jobs.Spec) (Reply, error) {
	b, err := wire.EncodeSubmission(id, spec)
	if err != nil {
		return Reply{}, err
	}
	return c.call(ctx, http.MethodPost, wire.JobsPath, b)
}

// Poll asks for a job's state.
func (c *Client) Poll(ctx context.Context, id string) (Reply, error) {
	return c.call(ctx, http.MethodGet, wire.JobsPath+"/"+id, nil)
}

// Cancel asks to cancel a job.
func (c *Client) Cancel(ctx context.Context, id string) (Reply, error) {
	return c.call(ctx, http.MethodPost, wire.JobsPath+"/"+id+"/abort", nil)
}

// call sends a request. Every answer that can be read is a reply, of whatever status.
func (c *Client) call(ctx context.Context, method, path string, body []byte) (Reply, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return Reply{}, err
	}
	answer, err := c.http.Do(request)
	if err != nil {
		return Reply{}, err // a *url.Error, which names the method and the URL
	}
	defer func() { _ = answer.Body.Close() }() // read to its end, or of no more use
	text, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswer))
	if err != nil {
		return Reply{}, fmt.Errorf("reading the answer to %s %s: %w", method, path, err)
	}
	reply := Reply{Code: answer.StatusCode}
	if seconds, err := strconv.Atoi(answer.Header.Get("Retry-After")); err == nil && seconds >= 0 {
		reply.RetryAfter = units.Microseconds(min(seconds, 3600)) * units.Second
	}
	if reply.Code != http.StatusOK && reply.Code != http.StatusCreated {
		reply.Error = wire.ProblemText(text)
		return reply, nil
	}
	job, status, err := wire.DecodeJobStatus(text)
	if err != nil {
		return Reply{}, fmt.Errorf("unreadable answer to %s %s: %w", method, path, err)
	}
	reply.Status = status
	if job.Done != nil && job.Running != nil {
		reply.Done, reply.Running = *job.Done, *job.Running
	}
	return reply, nil
}

// retryFor is how long Retry repeats a request that nobody takes.
const retryFor = 60 * time.Second

// ErrRetriesExhausted is wrapped by Retry's error when the request was repeated long enough.
var ErrRetriesExhausted = errors.New("nobody takes the request")

// Retry repeats a request as users do until it is answered for good, or for a minute: 200,
// 201, 400, 404 and 422 are answers. timeout bounds each attempt. The error wraps ErrRetriesExhausted,
// or is the context's.
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
			err = fmt.Errorf("answered %d: %s", reply.Code, reply.Error)
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
