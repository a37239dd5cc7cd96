// Package client speaks the users' side of the protocol to any controllers, or to
// their load balancer.
package client

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/wire"
)

// maxAnswer bounds what is read of an answer.
const maxAnswer = 64 << 10

// Client talks to one address.
type Client struct {
	base string
	http *http.Client
}

// New returns a client. Connections are kept open for a short time only: a load
// balancer never moves an open one.
func New(addr string) *Client {
	return &Client{base: "http://" + addr, http: &http.Client{Transport: &http.Transport{
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

// Submit submits a job.
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

func (c *Client) call(ctx context.Context, method, path string, body []byte) (Reply, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return Reply{}, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Reply{}, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return Reply{}, err
	}
	r := Reply{Code: resp.StatusCode}
	if s, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil && s >= 0 {
		r.RetryAfter = units.Microseconds(min(s, 3600)) * units.Second
	}
	if r.Code != http.StatusOK && r.Code != http.StatusCreated {
		r.Error = wire.ProblemText(b)
		return r, nil
	}
	s, st, err := wire.DecodeJobStatus(b)
	if err != nil {
		return Reply{}, fmt.Errorf("unreadable answer: %w", err)
	}
	r.Status = st
	if s.Done != nil && s.Running != nil {
		r.Done, r.Running = *s.Done, *s.Running
	}
	return r, nil
}

// tryFor is how long a request is repeated that nobody takes.
const tryFor = 60 * time.Second

// Insist repeats a request as users do until it is answered for good, or for a
// minute: 200, 201, 400, 404 and 422 are answers.
func Insist(ctx context.Context, within time.Duration, call func(context.Context) (Reply, error)) (Reply, error) {
	began := time.Now()
	for {
		one, cancel := context.WithTimeout(ctx, within)
		r, err := call(one)
		cancel()
		if err == nil {
			switch r.Code {
			case http.StatusOK, http.StatusCreated, http.StatusBadRequest, http.StatusNotFound, http.StatusUnprocessableEntity:
				return r, nil
			}
			err = fmt.Errorf("answered %d: %s", r.Code, r.Error)
		}
		pause := max(time.Second, time.Duration(min(r.RetryAfter, 30*units.Second))*time.Microsecond)
		if time.Since(began)+pause > tryFor {
			return r, fmt.Errorf("nobody takes the request: %w", err)
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return r, ctx.Err()
		}
	}
}
