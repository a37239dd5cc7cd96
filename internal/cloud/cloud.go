// Package cloud is the client of the cloud's interface.
package cloud

import (
	"context"
	"log/slog"
	"net/http"
	"net/url"
	"time"

	"golang.org/x/time/rate"

	"shalestage.example/shalestage/internal/core/autoscaler"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/rest"
	"shalestage.example/shalestage/internal/wire"
)

const callTimeout = 5 * time.Second

// Client talks to the cloud.
type Client struct {
	base  string
	http  *http.Client
	rps   float64
	limit *rate.Limiter
	log   *slog.Logger
}

// New returns a client for a budget of requests that all controllers share.
func New(addr string, rps float64, log *slog.Logger) *Client {
	return &Client{base: "http://" + addr, http: rest.NewClient(4), rps: rps,
		limit: rate.NewLimiter(rate.Limit(rps*margin), max(1, int(rps))), log: log}
}

// margin leaves some of the budget for a controller that takes over.
const margin = 0.7

// SetPart sets this controller's part of the budget.
func (c *Client) SetPart(part float64) {
	c.limit.SetLimit(rate.Limit(c.rps * margin * part))
	c.limit.SetBurst(max(1, int(c.rps*part)))
}

// call does one request, unless it may no more by the time it would be sent:
// its turn may come late, and a process may stand still before that.
func (c *Client) call(method, path string, body, into any, may func() bool) (int, store.Outcome) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := c.limit.Wait(ctx); err != nil || !may() {
		return 0, store.Refused
	}
	code, err := rest.Do(ctx, c.http, method, c.base+path, body, into)
	switch {
	case err != nil:
		c.log.Info("cloud", "path", path, "err", err)
		return code, store.Unknown
	case code == http.StatusOK:
		return code, store.OK
	}
	c.log.Debug("cloud", "path", path, "code", code)
	return code, store.Refused
}

func always() bool { return true }

// Types reads the price list. Entries that make no sense are left out.
func (c *Client) Types() (store.Outcome, []fleet.Type) {
	var b wire.MachineTypes
	_, o := c.call(http.MethodGet, wire.TypesPath, nil, &b, always)
	var out []fleet.Type
	for _, t := range b.Types {
		ty, err := t.Type()
		if err != nil {
			c.log.Error("cloud", "err", err)
			continue
		}
		out = append(out, ty)
	}
	return o, out
}

// Rent asks for machines. Failed means that none are to be had.
func (c *Client) Rent(request string, r autoscaler.Rent, may func() bool) (store.Outcome, []string) {
	var b struct {
		wire.Names
		wire.Problem
	}
	code, o := c.call(http.MethodPost, wire.HostsPath,
		wire.RentRequest{Request: request, Type: r.Pool.Type, Zone: r.Pool.Zone, Spot: r.Pool.Spot, Count: r.Count}, &b, may)
	if code == http.StatusServiceUnavailable && b.Error == "no capacity" {
		return store.Failed, nil
	}
	return o, b.Machines
}

// Return gives machines back.
func (c *Client) Return(names []string, may func() bool) store.Outcome {
	_, o := c.call(http.MethodPost, wire.ReturnPath, wire.Names{Machines: names}, nil, may)
	return o
}

// List reads the machine list.
func (c *Client) List() (store.Outcome, []wire.Host) {
	var out []wire.Host
	after := ""
	for {
		var h wire.Hosts
		q := url.Values{"page": {"500"}}
		if after != "" {
			q.Set("after", after)
		}
		if _, o := c.call(http.MethodGet, wire.HostsPath+"?"+q.Encode(), nil, &h, always); o != store.OK {
			return o, nil
		}
		out = append(out, h.Machines...)
		if !h.More || len(h.Machines) == 0 {
			return store.OK, out
		}
		after = h.Machines[len(h.Machines)-1].ID
	}
}
