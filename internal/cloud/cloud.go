// Package cloud is the client of the cloud's interface, from which machines are rented.
package cloud

import (
	"context"
	"log/slog"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"golang.org/x/time/rate"

	"shalestage.example/shalestage/internal/core/autoscaler"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/httpjson"
	"shalestage.example/shalestage/internal/wire"
)

const (
	// callTimeout bounds a request together with its wait for the budget.
	callTimeout = 5 * time.Second
	maxConns    = 4
	// hostPageSize is how many machines one request of the machine list returns at most.
	hostPageSize = 500
	// budgetFraction leaves some of the request budget for a controller that takes over.
	budgetFraction = 0.7
)

// Client talks to the cloud. Outcomes stand in for errors: Refused also where nothing was
// sent, Unknown where a request may have been carried out.
type Client struct {
	baseURL string
	http    *http.Client
	rps     float64
	limiter *rate.Limiter
	log     *slog.Logger
}

// New returns a client of the cloud at an address, HOST:PORT. rps is the budget that all
// controllers share, in requests a second.
func New(addr string, rps float64, log *slog.Logger) *Client {
	return &Client{
		baseURL: "http://" + addr,
		http:    httpjson.NewClient(maxConns),
		rps:     rps,
		limiter: rate.NewLimiter(rate.Limit(rps*budgetFraction), max(1, int(rps))),
		log:     log,
	}
}

// SetBudgetFraction sets the part of the budget that is this controller's, in (0, 1].
func (c *Client) SetBudgetFraction(fraction float64) {
	c.limiter.SetLimit(rate.Limit(c.rps * budgetFraction * fraction))
	c.limiter.SetBurst(max(1, int(c.rps*fraction)))
}

// do sends one request and decodes the answer into response, unless authorized is false by
// the time it would be sent: the request may have waited for the budget, and a process may
// stand still before that. The status is 0 where there was no answer.
func (c *Client) do(ctx context.Context, method, path string, request, response any, authorized func() bool) (status int, outcome store.Outcome) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := c.limiter.Wait(ctx); err != nil || !authorized() {
		return 0, store.Refused
	}
	status, err := httpjson.Do(ctx, c.http, method, c.baseURL+path, request, response)
	switch {
	case err != nil:
		c.log.Info("cloud", "path", path, "err", err)
		return status, store.Unknown
	case status == http.StatusOK:
		return status, store.OK
	}
	c.log.Debug("cloud", "path", path, "code", status)
	return status, store.Refused
}

// always authorizes requests that only read.
func always() bool { return true }

// Types reads the price list. Entries that make no sense are logged and left out.
func (c *Client) Types(ctx context.Context) (store.Outcome, []fleet.Type) {
	var priceList wire.MachineTypes
	_, outcome := c.do(ctx, http.MethodGet, wire.TypesPath, nil, &priceList, always)
	var types []fleet.Type
	for _, entry := range priceList.Types {
		machineType, err := entry.Type()
		if err != nil {
			c.log.Error("cloud", "err", err)
			continue
		}
		types = append(types, machineType)
	}
	return outcome, types
}

// ScaleOut asks for machines and returns the names of those granted. The cloud grants the
// same machines to a repeated request of the same id. Failed means that none are to be had.
func (c *Client) ScaleOut(ctx context.Context, requestID string, increase autoscaler.Increase, authorized func() bool) (store.Outcome, []string) {
	var response struct {
		wire.MachineNames
		wire.Problem
	}
	status, outcome := c.do(ctx, http.MethodPost, wire.HostsPath,
		wire.ScaleOutRequest{Request: requestID, Type: increase.Pool.Type, Zone: increase.Pool.Zone, Spot: increase.Pool.Spot, Count: increase.Count}, &response, authorized)
	if status == http.StatusServiceUnavailable && response.Error == wire.NoCapacity {
		return store.Failed, nil
	}
	return outcome, response.Machines
}

// ScaleIn gives machines back.
func (c *Client) ScaleIn(ctx context.Context, names []string, authorized func() bool) store.Outcome {
	_, outcome := c.do(ctx, http.MethodPost, wire.ReturnPath, wire.MachineNames{Machines: names}, nil, authorized)
	return outcome
}

// List reads the machine list.
func (c *Client) List(ctx context.Context) (store.Outcome, []wire.Host) {
	var hosts []wire.Host
	after := ""
	for {
		var page wire.HostList
		query := url.Values{"page": {strconv.Itoa(hostPageSize)}}
		if after != "" {
			query.Set("after", after)
		}
		if _, outcome := c.do(ctx, http.MethodGet, wire.HostsPath+"?"+query.Encode(), nil, &page, always); outcome != store.OK {
			return outcome, nil
		}
		hosts = append(hosts, page.Machines...)
		if !page.More || len(page.Machines) == 0 {
			return store.OK, hosts
		}
		after = page.Machines[len(page.Machines)-1].ID
	}
}
