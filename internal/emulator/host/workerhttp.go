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

// postHeartbeat posts a heartbeat to a controller and returns the response. Its code is 0 if the request failed, or
// if a response with status 200 could not be decoded.
func postHeartbeat(client *http.Client, addr string, r machine.Heartbeat) machine.Response {
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

// workerHandler returns the handler of a worker's own address. found is false if the machine hangs or hasn't
// started: it sends no response. accepted is false if the worker refused the commands.
func workerHandler(command func(context.Context, wire.ReceivedCommandList) (body wire.HeartbeatBody, accepted, found bool),
	status func(context.Context) (body wire.HeartbeatBody, found bool)) http.Handler {
	r := chi.NewRouter()
	r.Post(wire.CommandsPath, func(w http.ResponseWriter, req *http.Request) {
		b, err := io.ReadAll(http.MaxBytesReader(w, req.Body, wire.MaxBody))
		o, err2 := wire.DecodeCommandList(b)
		if err != nil || err2 != nil || o.FencingToken == nil || o.Incarnation == nil {
			writeProblem(w, http.StatusBadRequest, "malformed")
			return
		}
		switch body, accepted, found := command(req.Context(), o); {
		case !found:
			<-req.Context().Done()
		case accepted:
			writeJSON(w, http.StatusOK, body)
		default:
			writeJSON(w, http.StatusConflict, body)
		}
	})
	r.Get("/status", func(w http.ResponseWriter, req *http.Request) {
		body, found := status(req.Context())
		if !found {
			<-req.Context().Done()
			return
		}
		writeJSON(w, http.StatusOK, body)
	})
	return r
}
