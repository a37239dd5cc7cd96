// Package cloud implements the client of the cloud API that rents machines.
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
	// callTimeout is the timeout of a request, including the wait for the rate limiter.
	callTimeout = 5 * time.Second
	maxConns    = 4
	// hostPageSize is the maximum number of machines per page of the machine list.
	hostPageSize = 500
	// budgetFraction is the part of the request budget in use. The rest is reserved for a controller that takes
	// over.
	budgetFraction = 0.7
)

// Client is a client of the cloud. Its methods report an outcome instead of an error. The outcome is Refused also
// if nothing was sent, and Unknown if the cloud may have executed the request.
type Client struct {
	baseURL string
	http    *http.Client
	rps     float64
	limiter *rate.Limiter
	log     *slog.Logger
}

// New returns a client of the cloud at an address (HOST:PORT). rps is the request budget that all controllers
// share, in requests per second.
func New(addr string, rps float64, log *slog.Logger) *Client {
	return &Client{
		baseURL: "http://" + addr,
		http:    httpjson.NewClient(maxConns),
		rps:     rps,
		limiter: rate.NewLimiter(rate.Limit(rps*budgetFraction), max(1, int(rps))),
		log:     log,
	}
}

// SetBudgetFraction sets this controller's part of the request budget, in the range (0, 1].
func (c *Client) SetBudgetFraction(fraction float64) {
	c.limiter.SetLimit(rate.Limit(c.rps * budgetFraction * fraction))
	c.limiter.SetBurst(max(1, int(c.rps*fraction)))
}

// do sends one request and decodes the response. It calls authorized just before sending, because authority may
// have ended while the request waited for the rate limiter or the process was suspended. If authorized returns
// false, nothing is sent. The status is 0 if there was no response.
func (c *Client) do(ctx context.Context, method, path string, request, response any, authorized func() bool) (status int, outcome store.Outcome) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := c.limiter.Wait(ctx); err != nil || !authorized() {
		return 0, store.Refused
	}
	status, err := httpjson.Do(ctx, c.http, method, c.baseURL+path, request, response)
	switch {
	case err != nil:
		c.log.Info("request to the cloud failed", "path", path, "err", err)
		return status, store.Unknown
	case status == http.StatusOK:
		return status, store.OK
	}
	c.log.Debug("the cloud rejected a request", "path", path, "code", status)
	return status, store.Refused
}

// always authorizes read-only requests.
func always() bool { return true }

// Types returns the cloud's price list. Invalid entries are logged and omitted.
func (c *Client) Types(ctx context.Context) (store.Outcome, []fleet.Type) {
	var priceList wire.MachineTypes
	_, outcome := c.do(ctx, http.MethodGet, wire.TypesPath, nil, &priceList, always)
	var types []fleet.Type
	for _, entry := range priceList.Types {
		machineType, err := entry.Type()
		if err != nil {
			c.log.Error("ignoring an invalid entry of the cloud's price list", "err", err)
			continue
		}
		types = append(types, machineType)
	}
	return outcome, types
}

// ScaleOut rents machines and returns their names. The request is idempotent: the cloud returns the same machines
// for the same requestID. The outcome is Failed if the cloud has no capacity.
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

// ScaleIn returns machines to the cloud.
func (c *Client) ScaleIn(ctx context.Context, names []string, authorized func() bool) store.Outcome {
	_, outcome := c.do(ctx, http.MethodPost, wire.ReturnPath, wire.MachineNames{Machines: names}, nil, authorized)
	return outcome
}

// List returns all pages of the cloud's machine list.
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
