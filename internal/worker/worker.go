// Package worker asks workers directly for their reports.
package worker

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"net/netip"
	"time"

	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/rest"
	"shalestage.example/shalestage/internal/wire"
)

// callTimeout bounds a request: a machine that does not answer by then is heard
// by its own report, or not at all.
const callTimeout = time.Second

// Client talks to workers.
type Client struct {
	http *http.Client
	log  *slog.Logger
}

// New returns a client that keeps no connections: each worker is asked once.
func New(log *slog.Logger) *Client {
	hc := rest.NewClient(1)
	hc.Transport.(*http.Transport).DisableKeepAlives = true
	return &Client{http: hc, log: log}
}

// ShowToken shows a token to a worker, without any command, and returns the
// worker's report after that. Failed means that it has not taken the token: the
// session is another, or it has seen a higher one; the report tells.
func (c *Client) ShowToken(addr string, token, session uint64, may func() bool) (store.Outcome, *fleet.Heartbeat) {
	if _, err := netip.ParseAddrPort(addr); err != nil || !may() {
		return store.Refused, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var body json.RawMessage
	code, err := rest.Do(ctx, c.http, http.MethodPost, "http://"+addr+wire.CommandsPath,
		wire.Orders{Token: token, Session: &session, Commands: []wire.Command{}}, &body)
	if err != nil {
		c.log.Debug("worker", "addr", addr, "err", err)
		return store.Unknown, nil
	}
	o := store.Failed
	switch code {
	case http.StatusOK:
		o = store.OK
	case http.StatusConflict:
	default:
		return store.Unknown, nil
	}
	r, err := wire.DecodeReport(body)
	if err != nil {
		c.log.Debug("worker", "addr", addr, "err", err)
		return store.Unknown, nil
	}
	return o, r
}
