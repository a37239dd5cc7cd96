// Package state is the client of the state service.
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
	"shalestage.example/shalestage/internal/rest"
	"shalestage.example/shalestage/internal/wire"
)

// deadlines of requests: the service answers within a few hundred
// milliseconds, so that a lost request is noticed soon.
const (
	callTimeout = 1000 * time.Millisecond
	readTimeout = 700 * time.Millisecond
	listTimeout = 10 * time.Second
)

// Client talks to the state service.
type Client struct {
	base  string
	http  *http.Client
	limit *rate.Limiter
	next  rate.Limit // once the service has refused a request as one too many
	log   *slog.Logger
}

// New returns a client. rps is this node's share of the request budget, and next
// its share once the service's limits have fallen.
func New(addr string, rps, next float64, log *slog.Logger) *Client {
	return &Client{
		base:  "http://" + addr,
		http:  rest.NewClient(8),
		limit: rate.NewLimiter(rate.Limit(rps), max(4, int(rps))),
		next:  rate.Limit(next),
		log:   log,
	}
}

// call does one request. The outcome is Unknown where the request may have
// been carried out; a status other than 200 is returned for the caller to judge.
func (c *Client) call(method, path string, timeout time.Duration, body, into any) (int, store.Outcome) {
	return c.callIn(context.Background(), method, path, timeout, body, into)
}

// callIn is call within a context: once that ends, nobody waits for the answer.
func (c *Client) callIn(ctx context.Context, method, path string, timeout time.Duration, body, into any) (int, store.Outcome) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	code, err := rest.Do(ctx, c.http, method, c.base+path, body, into)
	if err != nil {
		c.log.Debug("state service", "method", method, "path", path, "err", err)
		return code, store.Unknown
	}
	switch code {
	case http.StatusOK:
		return code, store.OK
	case http.StatusServiceUnavailable:
		c.log.Debug("state service", "method", method, "path", path, "code", code)
		return code, store.Refused
	case http.StatusTooManyRequests:
		c.log.Debug("state service", "method", method, "path", path, "code", code)
		c.limit.SetLimit(min(c.limit.Limit(), c.next))
		return code, store.Limited
	}
	if code >= http.StatusInternalServerError {
		return code, store.Unknown // none of the service's own answers
	}
	return code, store.Failed
}

// List reads keys with a prefix that come after a key, as many as a page holds, and
// the revision at which it read them. more says that there are others.
func (c *Client) List(prefix, after string, page int) (o store.Outcome, rev uint64, items []store.Event, more bool) {
	if !c.limit.Allow() {
		return store.Refused, 0, nil, false
	}
	q := url.Values{"starts": {prefix}, "page": {strconv.Itoa(page)}}
	if after != "" {
		q.Set("after", after)
	}
	var l wire.Listing
	if _, o = c.call(http.MethodGet, wire.KeysPath+"?"+q.Encode(), listTimeout, nil, &l); o != store.OK {
		return o, 0, nil, false
	}
	for _, it := range l.Items {
		items = append(items, store.Event{Key: it.Key, Value: it.Value, Stamp: it.Stamp})
	}
	return store.OK, l.Revision, items, l.More
}

// Get reads one key. A key that does not exist has no value; rev is then the revision
// of the service, which tells none otherwise.
func (c *Client) Get(key string) (o store.Outcome, value json.RawMessage, stamp, rev uint64) {
	if !c.limit.Allow() {
		return store.Refused, nil, 0, 0
	}
	var it struct {
		wire.Entry
		wire.Revision
	}
	code, o := c.call(http.MethodGet, wire.KeysPath+"/"+key, callTimeout, nil, &it)
	switch {
	case o == store.OK:
		return o, it.Value, it.Stamp, 0
	case code == http.StatusNotFound:
		return store.OK, nil, 0, it.Revision.Revision
	case o == store.Failed:
		return store.Unknown, nil, 0, 0
	}
	return o, nil, 0, 0
}

// Watch reads the changes after a revision, waiting for one if there is none.
// gone means that the service no longer has them all.
func (c *Client) Watch(prefix string, after uint64, wait units.Microseconds) (o store.Outcome, rev uint64, events []store.Event, gone bool) {
	if !c.limit.Allow() {
		return store.Refused, 0, nil, false
	}
	q := fmt.Sprintf("%s?starts=%s&after=%d&wait_ms=%d", wire.WatchPath, url.QueryEscape(prefix), after, wait/1000)
	timeout := callTimeout
	if wait > 0 {
		timeout += time.Duration(wait) * time.Microsecond
	} else {
		timeout = readTimeout
	}
	var ch wire.Changes
	code, o := c.call(http.MethodGet, q, timeout, nil, &ch)
	if o != store.OK {
		return o, 0, nil, code == http.StatusGone
	}
	for _, e := range ch.Events {
		if e.Put != "" {
			events = append(events, store.Event{Key: e.Put, Value: e.Value, Stamp: e.Stamp})
		} else {
			events = append(events, store.Event{Key: e.Delete, Stamp: e.Stamp})
		}
	}
	return store.OK, ch.Revision, events, false
}

// Commit sends a transaction.
func (c *Client) Commit(t *store.Txn) (store.Outcome, uint64, []string) {
	return c.CommitIn(context.Background(), t)
}

// CommitIn sends a transaction and waits for the answer until the context ends. Then the
// outcome is Unknown.
func (c *Client) CommitIn(ctx context.Context, t *store.Txn) (store.Outcome, uint64, []string) {
	if !c.limit.Allow() {
		return store.Refused, 0, nil
	}
	body := wire.Commit{If: []wire.Guard{}, Then: []wire.Change{}}
	for _, g := range t.Guards {
		body.If = append(body.If, wire.Guard{Key: g.Key, Stamp: g.Version})
	}
	for _, ch := range t.Changes {
		if ch.Value == nil {
			body.Then = append(body.Then, wire.Change{Delete: ch.Key})
		} else {
			body.Then = append(body.Then, wire.Change{Put: ch.Key, Value: ch.Value, Lease: ch.Lease})
		}
	}
	var r wire.CommitResult
	code, o := c.callIn(ctx, http.MethodPost, wire.CommitPath, callTimeout, body, &r)
	if o == store.Failed && code != http.StatusConflict {
		c.log.Error("state service refused a transaction", "code", code, "err", r.Error)
		// A lease that has ended is the other reason, and an ordinary one.
		if r.Error != wire.NoSuchLease && (code == http.StatusBadRequest || code == http.StatusRequestEntityTooLarge) {
			o = store.TooLarge
		}
	}
	return o, r.Revision, r.Failed
}

// OpenLease obtains a lease.
func (c *Client) OpenLease(ttl units.Microseconds) (store.Outcome, uint64) {
	var l wire.Lease
	_, o := c.call(http.MethodPost, wire.HoldsPath, callTimeout, wire.LeaseRequest{TTLMillis: int64(ttl / 1000)}, &l)
	return o, l.ID
}

// RenewLease extends a lease. Failed means that it has ended. Renewals go
// ahead of the budget: nothing may delay them.
func (c *Client) RenewLease(id uint64) store.Outcome {
	code, o := c.call(http.MethodPost, fmt.Sprintf("%s/%d/extend", wire.HoldsPath, id), time.Second, nil, nil)
	if o == store.Failed && code != http.StatusNotFound {
		return store.Unknown
	}
	return o
}

// CloseLease ends a lease.
func (c *Client) CloseLease(id uint64) {
	c.call(http.MethodDelete, fmt.Sprintf("%s/%d", wire.HoldsPath, id), callTimeout, nil, nil)
}
