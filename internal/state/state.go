// Package state implements the client of the state service, the replicated key-value store that holds the
// controllers' persistent state.
package state

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"golang.org/x/time/rate"

	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/httpjson"
	"shalestage.example/shalestage/internal/wire"
)

// Request timeouts. The service responds within a few hundred milliseconds, so short timeouts detect a lost
// request early.
const (
	callTimeout = 1000 * time.Millisecond
	pollTimeout = 700 * time.Millisecond // of a watch that does not wait for changes
	listTimeout = 10 * time.Second
)

// maxConns is the maximum number of connections to the service.
const maxConns = 8

// Client is a client of the state service. Its methods report an outcome instead of an error. The outcome is
// Refused also if nothing was sent because this controller's share of the request budget is used up. It is
// Unknown if the context or the request timed out before the response arrived.
type Client struct {
	baseURL     string
	http        *http.Client
	limiter     *rate.Limiter
	reducedRate rate.Limit // applies after the service has responded 429
	log         *slog.Logger
}

// New returns a client of the service at an address (HOST:PORT). rps is this controller's share of the request
// budget in requests per second. reducedRPS is its share after the service has lowered its limits.
func New(addr string, rps, reducedRPS float64, log *slog.Logger) *Client {
	return &Client{
		baseURL:     "http://" + addr,
		http:        httpjson.NewClient(maxConns),
		limiter:     rate.NewLimiter(rate.Limit(rps), max(4, int(rps))),
		reducedRate: rate.Limit(reducedRPS),
		log:         log,
	}
}

// do sends one request and decodes the response. The status is 0 if there was no response. The outcome is Failed
// for all status codes that the caller has to interpret.
func (c *Client) do(ctx context.Context, method, path string, timeout time.Duration, request, response any) (status int, outcome store.Outcome) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	status, err := httpjson.Do(ctx, c.http, method, c.baseURL+path, request, response)
	if err != nil {
		c.log.Debug("request to the state service failed", "method", method, "path", path, "err", err)
		return status, store.Unknown
	}
	switch status {
	case http.StatusOK:
		return status, store.OK
	case http.StatusServiceUnavailable:
		c.log.Debug("the state service rejected a request", "method", method, "path", path, "code", status)
		return status, store.Refused
	case http.StatusTooManyRequests:
		c.log.Debug("the state service rejected a request", "method", method, "path", path, "code", status)
		c.limiter.SetLimit(min(c.limiter.Limit(), c.reducedRate))
		return status, store.RateLimited
	}
	if status >= http.StatusInternalServerError {
		return status, store.Unknown // not a response of the service itself
	}
	return status, store.Failed
}

// List returns up to pageSize keys with a prefix that sort after a given key, and the revision at which they
// were read. more reports whether further keys follow.
func (c *Client) List(ctx context.Context, prefix, after string, pageSize int) (outcome store.Outcome, revision uint64, items []store.Event, more bool) {
	if !c.limiter.Allow() {
		return store.Refused, 0, nil, false
	}
	query := url.Values{"starts": {prefix}, "page": {strconv.Itoa(pageSize)}}
	if after != "" {
		query.Set("after", after)
	}
	var listing wire.Listing
	if _, outcome = c.do(ctx, http.MethodGet, wire.KeysPath+"?"+query.Encode(), listTimeout, nil, &listing); outcome != store.OK {
		return outcome, 0, nil, false
	}
	for _, item := range listing.Items {
		items = append(items, store.Event{Key: item.Key, Value: item.Value, Stamp: item.Version})
	}
	return store.OK, listing.Revision, items, listing.More
}

// Get reads one key. If the key does not exist, value is nil and revision is the current revision of the
// service. Otherwise revision is 0.
func (c *Client) Get(ctx context.Context, key string) (outcome store.Outcome, value json.RawMessage, version, revision uint64) {
	if !c.limiter.Allow() {
		return store.Refused, nil, 0, 0
	}
	var entry struct {
		wire.Entry
		wire.Revision
	}
	status, outcome := c.do(ctx, http.MethodGet, wire.KeysPath+"/"+key, callTimeout, nil, &entry)
	switch {
	case outcome == store.OK:
		return outcome, entry.Value, entry.Version, 0
	case status == http.StatusNotFound:
		return store.OK, nil, 0, entry.Revision.Revision
	case outcome == store.Failed:
		return store.Unknown, nil, 0, 0
	}
	return outcome, nil, 0, 0
}

// Watch returns the changes after a revision to keys with a prefix. If there are none, it waits for a change for
// up to the given time. compacted reports that the service no longer has all changes since that revision.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait units.Microseconds) (outcome store.Outcome, revision uint64, events []store.Event, compacted bool) {
	if !c.limiter.Allow() {
		return store.Refused, 0, nil, false
	}
	path := fmt.Sprintf("%s?starts=%s&after=%d&wait_ms=%d", wire.WatchPath, url.QueryEscape(prefix), after, wait/1000)
	timeout := pollTimeout
	if wait > 0 {
		timeout = callTimeout + time.Duration(wait)*time.Microsecond
	}
	var changes wire.WatchResponse
	status, outcome := c.do(ctx, http.MethodGet, path, timeout, nil, &changes)
	if outcome != store.OK {
		return outcome, 0, nil, status == http.StatusGone
	}
	for _, e := range changes.Events {
		if e.Put != "" {
			events = append(events, store.Event{Key: e.Put, Value: e.Value, Stamp: e.Version})
		} else {
			events = append(events, store.Event{Key: e.Delete, Stamp: e.Version})
		}
	}
	return store.OK, changes.Revision, events, false
}

// Commit sends a transaction, which applies its changes atomically if all guards hold. If the outcome is OK,
// revision is the revision of the changes. If it is Failed, failed lists the keys whose guards did not hold.
func (c *Client) Commit(ctx context.Context, txn *store.Txn) (outcome store.Outcome, revision uint64, failed []string) {
	if !c.limiter.Allow() {
		return store.Refused, 0, nil
	}
	request := wire.CommitRequest{If: []wire.Guard{}, Then: []wire.Change{}}
	for _, g := range txn.Guards {
		request.If = append(request.If, wire.Guard{Key: g.Key, Version: g.Version})
	}
	for _, change := range txn.Changes {
		if change.Value == nil {
			request.Then = append(request.Then, wire.Change{Delete: change.Key})
		} else {
			request.Then = append(request.Then, wire.Change{Put: change.Key, Value: change.Value, Lease: change.Lease})
		}
	}
	var result wire.CommitResult
	status, outcome := c.do(ctx, http.MethodPost, wire.CommitPath, callTimeout, request, &result)
	if outcome == store.Failed && status != http.StatusConflict {
		c.log.Error("state service refused a transaction", "code", status, "err", result.Error)
		// The other cause of a 400 is an expired lease. That is an ordinary failure: the transaction is not too large.
		if result.Error != wire.NoSuchLease && (status == http.StatusBadRequest || status == http.StatusRequestEntityTooLarge) {
			outcome = store.TooLarge
		}
	}
	return outcome, result.Revision, result.Failed
}

// OpenLease obtains a lease that expires ttl after its last renewal. Requests to open, renew and revoke leases
// are not subject to the request budget because they must not be delayed.
func (c *Client) OpenLease(ctx context.Context, ttl units.Microseconds) (outcome store.Outcome, id uint64) {
	var lease wire.Lease
	_, outcome = c.do(ctx, http.MethodPost, wire.LeasesPath, callTimeout, wire.LeaseRequest{TTLMillis: int64(ttl / 1000)}, &lease)
	return outcome, lease.ID
}

// RenewLease renews a lease. The outcome is Failed if the lease has expired.
func (c *Client) RenewLease(ctx context.Context, id uint64) store.Outcome {
	status, outcome := c.do(ctx, http.MethodPost, fmt.Sprintf("%s/%d/extend", wire.LeasesPath, id), callTimeout, nil, nil)
	if outcome == store.Failed && status != http.StatusNotFound {
		return store.Unknown
	}
	return outcome
}

// CloseLease revokes a lease. It reports no outcome because a lease that could not be revoked expires.
func (c *Client) CloseLease(ctx context.Context, id uint64) {
	c.do(ctx, http.MethodDelete, fmt.Sprintf("%s/%d", wire.LeasesPath, id), callTimeout, nil, nil)
}
