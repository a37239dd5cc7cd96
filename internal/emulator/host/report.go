package host

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/go-chi/chi/v5"

	"shalestage.example/shalestage/internal/emulator/machine"
	"shalestage.example/shalestage/internal/wire"
)

// sendReport brings a report to a controller and returns its answer; the zero answer
// says that there was none that counts.
func sendReport(client *http.Client, addr string, r machine.Heartbeat) machine.Response {
	body, err := json.Marshal(wire.EncodeHeartbeat(r.Body, r.Checkpointed))
	if err != nil {
		return machine.Response{}
	}
	resp, err := client.Post("http://"+addr+wire.HeartbeatPath, "application/json", bytes.NewReader(body))
	if err != nil {
		return machine.Response{}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxBody))
	if err != nil {
		return machine.Response{}
	}
	a := machine.Response{Code: resp.StatusCode}
	o, err := wire.DecodeCommandList(b)
	if err != nil {
		if a.Code == http.StatusOK {
			a.Code = 0
		}
		return a
	}
	a.RedirectTo, a.Commands, a.NoFencingToken = o.Node, o.Commands, o.FencingToken == nil
	if o.FencingToken != nil {
		a.FencingToken = *o.FencingToken
	}
	return a
}

// workerHandler serves a worker's own address. A machine that is not found stands still, or
// is not up yet: it says nothing.
func workerHandler(command func(context.Context, wire.ReceivedCommandList) (body wire.HeartbeatBody, taken, found bool),
	status func(context.Context) (body wire.HeartbeatBody, found bool)) http.Handler {
	r := chi.NewRouter()
	r.Post(wire.CommandsPath, func(w http.ResponseWriter, req *http.Request) {
		b, err := io.ReadAll(http.MaxBytesReader(w, req.Body, wire.MaxBody))
		o, err2 := wire.DecodeCommandList(b)
		if err != nil || err2 != nil || o.FencingToken == nil || o.Incarnation == nil {
			problem(w, http.StatusBadRequest, "malformed")
			return
		}
		switch body, taken, found := command(req.Context(), o); {
		case !found:
			<-req.Context().Done()
		case taken:
			answer(w, http.StatusOK, body)
		default:
			answer(w, http.StatusConflict, body)
		}
	})
	r.Get("/status", func(w http.ResponseWriter, req *http.Request) {
		body, found := status(req.Context())
		if !found {
			<-req.Context().Done()
			return
		}
		answer(w, http.StatusOK, body)
	})
	return r
}
