// Package worker implements the client of the HTTP interface that workers serve. It probes a worker without
// waiting for the worker's next heartbeat.
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
	"shalestage.example/shalestage/internal/httpjson"
	"shalestage.example/shalestage/internal/wire"
)

// callTimeout is the timeout of a probe. The state of a machine that does not answer in time is learned from its
// next heartbeat, if there is one.
const callTimeout = time.Second

// Client is a client of workers.
type Client struct {
	http *http.Client
	log  *slog.Logger
}

// New returns a client. It does not reuse connections because each worker is probed only once.
func New(log *slog.Logger) *Client {
	return &Client{http: httpjson.NewOneShotClient(), log: log}
}

// Probe sends a fencing token without any commands to the worker at an address (HOST:PORT), and returns the status
// of the worker after it has handled the token. The outcome is
//   - OK if the worker accepted the token;
//   - Failed if it rejected the token because it has another incarnation or has seen a higher token, as the
//     returned status shows;
//   - Refused if nothing was sent because the address is invalid or authorized returned false;
//   - Unknown if there was no valid response.
func (c *Client) Probe(ctx context.Context, addr string, fencingToken, incarnation uint64, authorized func() bool) (store.Outcome, *fleet.Heartbeat) {
	if _, err := netip.ParseAddrPort(addr); err != nil || !authorized() {
		return store.Refused, nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var body json.RawMessage
	status, err := httpjson.Do(ctx, c.http, http.MethodPost, "http://"+addr+wire.CommandsPath,
		wire.CommandList{FencingToken: fencingToken, Incarnation: &incarnation, Commands: []wire.Command{}}, &body)
	if err != nil {
		c.log.Debug("cannot probe a worker", "addr", addr, "err", err)
		return store.Unknown, nil
	}
	outcome := store.OK
	switch status {
	case http.StatusOK:
	case http.StatusConflict:
		outcome = store.Failed
	default:
		return store.Unknown, nil
	}
	heartbeat, err := wire.DecodeHeartbeat(body)
	if err != nil {
		c.log.Debug("cannot decode a worker's response to a probe", "addr", addr, "err", err)
		return store.Unknown, nil
	}
	return outcome, heartbeat
}
