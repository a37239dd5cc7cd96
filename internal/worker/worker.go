// Package worker is the client of workers' own interface: it probes a worker without waiting
// for its next heartbeat.
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

// callTimeout bounds a probe: a machine that does not answer by then is known by its own
// heartbeat, or not at all.
const callTimeout = time.Second

// Client talks to workers.
type Client struct {
	http *http.Client
	log  *slog.Logger
}

// New returns a client that keeps no connections: each worker is probed once.
func New(log *slog.Logger) *Client {
	return &Client{http: httpjson.NewOneShotClient(), log: log}
}

// Probe presents a fencing token to the worker at an address, HOST:PORT, without any command,
// and returns the worker's status after that. The outcome is Failed where the worker did not
// take the token, as the status tells: its incarnation is another, or it has seen a higher token.
// Refused means that nothing was sent, as the address is unusable or authorized is false;
// Unknown that there was no answer that can be read.
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
		c.log.Debug("worker", "addr", addr, "err", err)
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
		c.log.Debug("worker", "addr", addr, "err", err)
		return store.Unknown, nil
	}
	return outcome, heartbeat
}
