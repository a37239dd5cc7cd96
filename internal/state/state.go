// Package state is the client of the state service, the consensus-backed key-value store in
// which controllers keep what must outlive them.
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

// Timeouts of requests: the service answers within a few hundred
// milliseconds, so that a lost request is noticed soon.
const (
	callTimeout = 1000 * time.Millisecond
	readTimeout = 700 * time.Millisecond
	listTimeout = 10 * time.Second
)

// maxConns bounds the connections to the service.
const maxConns = 8

// Client talks to the state service. Every method returns an outcome instead of an error:
// Refused also where this node's share of the request budget is used up and nothing was
// sent, Unknown where the context or the request's timeout ended before the answer came.
type Client struct {
	baseURL  string
	http     *http.Client
	limiter  *rate.Limiter
	nextRate rate.Limit // once the service has refused a request as one too many
	log      *slog.Logger
}

// New returns a client of the service at an address, HOST:PORT. rps is this node's share of
// the request budget, in requests a second, and nextRPS its share once the service's limits
// have fallen.
func New(addr string, rps, nextRPS float64, log *slog.Logger) *Client {
	return &Client{
		baseURL:  "http://" + addr,
		http:     httpjson.NewClient(maxConns),
		limiter:  rate.NewLimiter(rate.Limit(rps), max(4, int(rps))),
		nextRate: rate.Limit(nextRPS),
		log:      log,
	}
}

// do sends one request and decodes the answer into response. The status is 0 where there was
// no answer. Failed stands for every status that the caller is to judge.
func (c *Client) do(ctx context.Context, method, path string, timeout time.Duration, request, response any) (status int, outcome store.Outcome) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	status, err := httpjson.Do(ctx, c.http, method, c.baseURL+path, request, response)
	if err != nil {
		c.log.Debug("state service", "method", method, "path", path, "err", err)
		return status, store.Unknown
	}
	switch status {
	case http.StatusOK:
		return status, store.OK
	case http.StatusServiceUnavailable:
		c.log.Debug("state service", "method", method, "path", path, "code", status)
		return status, store.Refused
	case http.StatusTooManyRequests:
		c.log.Debug("state service", "method", method, "path", path, "code", status)
		c.limiter.SetLimit(min(c.limiter.Limit(), c.nextRate))
		return status, store.RateLimited
	}
	if status >= http.StatusInternalServerError {
		return status, store.Unknown // none of the service's own answers
	}
	return status, store.Failed
}

// List reads the keys with a prefix that come after a key, pageSize of them at most, and
// the revision as of which it read them. more says that there are others.
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

// Get reads one key. A key that does not exist has no value; only then revision is set, to
// that of the service.
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

// Watch reads the changes of keys with a prefix after a revision. If there is none it waits
// for one. compacted means that the service no longer has them all.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait units.Microseconds) (outcome store.Outcome, revision uint64, events []store.Event, compacted bool) {
	if !c.limiter.Allow() {
		return store.Refused, 0, nil, false
	}
	path := fmt.Sprintf("%s?starts=%s&after=%d&wait_ms=%d", wire.WatchPath, url.QueryEscape(prefix), after, wait/1000)
	timeout := readTimeout
	if wait > 0 {
		timeout = callTimeout + time.Duration(wait)*time.Microsecond
	}
	var changes wire.Changes
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

// Commit sends a transaction: its changes are made together if every guard holds. Failed
// comes with the keys whose guards did not hold; OK with the revision of the changes.
func (c *Client) Commit(ctx context.Context, txn *store.Txn) (outcome store.Outcome, revision uint64, failed []string) {
	if !c.limiter.Allow() {
		return store.Refused, 0, nil
	}
	request := wire.Commit{If: []wire.Guard{}, Then: []wire.Change{}}
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
		// An expired lease is the other reason, and an ordinary one.
		if result.Error != wire.NoSuchLease && (status == http.StatusBadRequest || status == http.StatusRequestEntityTooLarge) {
			outcome = store.TooLarge
		}
	}
	return outcome, result.Revision, result.Failed
}

// OpenLease obtains a lease that expires ttl after its last renewal. It is not held against
// the request budget, nor are renewal and revocation: nothing may delay them.
func (c *Client) OpenLease(ctx context.Context, ttl units.Microseconds) (outcome store.Outcome, id uint64) {
	var lease wire.Lease
	_, outcome = c.do(ctx, http.MethodPost, wire.LeasesPath, callTimeout, wire.LeaseRequest{TTLMillis: int64(ttl / 1000)}, &lease)
	return outcome, lease.ID
}

// RenewLease extends a lease. Failed means that it has expired.
func (c *Client) RenewLease(ctx context.Context, id uint64) store.Outcome {
	status, outcome := c.do(ctx, http.MethodPost, fmt.Sprintf("%s/%d/extend", wire.LeasesPath, id), callTimeout, nil, nil)
	if outcome == store.Failed && status != http.StatusNotFound {
		return store.Unknown
	}
	return outcome
}

// CloseLease revokes a lease. The outcome is of no use to the caller: a lease that could not
// be revoked expires.
func (c *Client) CloseLease(ctx context.Context, id uint64) {
	c.do(ctx, http.MethodDelete, fmt.Sprintf("%s/%d", wire.LeasesPath, id), callTimeout, nil, nil)
}
