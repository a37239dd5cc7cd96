package api

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"shalestage.example/shalestage/internal/config"
	"shalestage.example/shalestage/internal/core"
	"shalestage.example/shalestage/internal/core/configuration"
)

// ConfigNode is the controller as the internal interface needs it. Every call returns a reply, also on errors
// and timeouts.
type ConfigNode interface {
	Configure(ctx context.Context, r configuration.Request) core.Reply
	ConfigContent(ctx context.Context) core.Reply
	ConfigHistory(ctx context.Context) core.Reply
	ConfigStatus(ctx context.Context, version uint64) core.Reply
}

// ServeInternal serves the internal interface on a listener until that fails, and returns the error.
func ServeInternal(l net.Listener, n ConfigNode) error {
	s := &http.Server{Handler: InternalHandler(n), ReadHeaderTimeout: 5 * time.Second, ReadTimeout: 10 * time.Second,
		WriteTimeout: 15 * time.Second, IdleTimeout: 10 * time.Second, MaxHeaderBytes: 16 << 10}
	return s.Serve(l)
}

// InternalHandler returns the handler of the internal interface, by which operators read and change the
// configuration.
func InternalHandler(n ConfigNode) http.Handler {
	r := chi.NewRouter()
	r.Get(config.ConfigPath, func(w http.ResponseWriter, req *http.Request) { writeConfig(w, n.ConfigContent(req.Context())) })
	r.Get(config.ConfigHistoryPath, func(w http.ResponseWriter, req *http.Request) { writeConfig(w, n.ConfigHistory(req.Context())) })
	r.Get(config.ConfigStatusPath, func(w http.ResponseWriter, req *http.Request) {
		var version uint64
		if v := req.URL.Query().Get("version"); v != "" {
			var err error
			if version, err = strconv.ParseUint(v, 10, 64); err != nil {
				writeFieldError(w, http.StatusBadRequest, "version", "want a number")
				return
			}
		}
		writeConfig(w, n.ConfigStatus(req.Context(), version))
	})
	r.Put(config.ConfigPath, func(w http.ResponseWriter, req *http.Request) { changeConfig(w, req, n, &config.Document{}) })
	r.Post(config.ConfigSetPath, func(w http.ResponseWriter, req *http.Request) { changeConfig(w, req, n, &config.Patch{}) })
	return r
}

// configChange is the body of a request for a change.
type configChange interface {
	Request() (configuration.Request, error)
}

// changeConfig decodes a change and passes it on to the controller. Unknown fields are refused: a misspelt
// field would otherwise be ignored without notice.
func changeConfig(w http.ResponseWriter, req *http.Request, n ConfigNode, change configChange) {
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, config.MaxDocumentBytes))
	if err != nil {
		writeFieldError(w, http.StatusBadRequest, "", "body cannot be read or is too long")
		return
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(change); err != nil {
		field := ""
		var wrongType *json.UnmarshalTypeError
		if errors.As(err, &wrongType) {
			field = wrongType.Field
		}
		writeFieldError(w, http.StatusBadRequest, field, err.Error())
		return
	}
	r, err := change.Request()
	if err != nil {
		writeConfig(w, core.Reply{Code: http.StatusUnprocessableEntity, Body: core.ConfigRefused{Err: err}})
		return
	}
	writeConfig(w, n.Configure(req.Context(), r))
}

// writeFieldError responds with a refusal because of one field; field may be empty.
func writeFieldError(w http.ResponseWriter, code int, field, reason string) {
	writeJSON(w, code, config.Refusal{Field: field, Error: reason})
}

func writeConfig(w http.ResponseWriter, r core.Reply) {
	if r.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	switch b := r.Body.(type) {
	case core.ConfigContent:
		writeJSON(w, r.Code, config.NewDocument(b.Version, b.Content))
	case core.ConfigStored:
		writeJSON(w, r.Code, config.Stored{Version: b.Version})
	case core.ConfigStatus:
		writeJSON(w, r.Code, config.NewStatus(b))
	case core.ConfigHistory:
		writeJSON(w, r.Code, config.NewHistory(b))
	case core.ConfigRefused:
		writeJSON(w, r.Code, refusal(b.Err))
	case core.Problem: // no response in time: a change may have been stored, or may still be
		writeJSON(w, r.Code, config.Refusal{Error: b.Text, Unknown: true})
	default:
		writeJSON(w, r.Code, struct{}{})
	}
}

// refusal returns the response body for the error of a change.
func refusal(err error) config.Refusal {
	body := config.Refusal{Error: err.Error()}
	var invalid *configuration.Invalid
	var conflict *configuration.Conflict
	var unavailable *configuration.Unavailable
	switch {
	case errors.As(err, &invalid):
		body.Field, body.Error = invalid.Field, invalid.Reason
	case errors.As(err, &conflict):
		body.Version, body.Current = &conflict.Base, &conflict.Current
	case errors.As(err, &unavailable):
		body.Unknown = unavailable.Unknown
	}
	return body
}

func writeJSON(w http.ResponseWriter, code int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_, _ = w.Write(append(encoded, '\n')) // fails if the client has disconnected
}
