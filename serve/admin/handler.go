package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/change"
	"github.com/azurethread/azurethread/decide/verdict"
)

// Changer executes operations. Its errors are those of change.Apply, or a
// *verdict.Error: NotRun if the change was certainly not made, MayHaveRun if that
// is unknown.
type Changer interface {
	Change(ctx context.Context, op change.Operation) (Accepted, error)
}

// OutcomeFinder returns the outcome of an operation. For an unknown id that is
// MayHaveRun until the platform proves otherwise. An error means that the query
// failed.
type OutcomeFinder interface {
	FindOutcome(ctx context.Context, operation string) (Outcome, error)
}

// Viewer returns the state known to this entry VM. Catalogue returns nil until a
// catalogue has been received; a returned catalogue is immutable.
type Viewer interface {
	Catalogue() *catalogue.Catalogue
	Status() Status
	InForce(ctx context.Context, revision uint64) InForce
}

// Config holds the dependencies and settings of a Handler. All fields except
// Stopping and ChangeTimeout are required.
type Config struct {
	Changer       Changer
	OutcomeFinder OutcomeFinder
	Viewer        Viewer
	Operators     Operators
	Auditor       Auditor
	// NewOperationID returns an id for a change that was sent without one.
	NewOperationID func() string
	// Stopping, once closed, ends waiting watches, so that they do not delay
	// a stop.
	Stopping <-chan struct{}
	// ChangeTimeout limits one change; zero means DefaultChangeTimeout.
	ChangeTimeout time.Duration
}

// Limits and defaults of the API.
const (
	MaxBody              = 1 << 20 // bytes of a request body
	MaxWatches           = 16      // concurrent long polls; each occupies a worker
	MaxWatchWait         = 30 * time.Second
	DefaultWatchWait     = 10 * time.Second
	DefaultChangeTimeout = 5 * time.Second
	watchPoll            = 50 * time.Millisecond
)

// Handler serves the administration API.
type Handler struct {
	cfg     Config
	mux     *http.ServeMux
	watches chan struct{} // holds one element per waiting watch
}

// New returns the handler of all routes under Prefix.
func New(cfg Config) *Handler {
	if cfg.ChangeTimeout == 0 {
		cfg.ChangeTimeout = DefaultChangeTimeout
	}
	h := &Handler{cfg: cfg, mux: http.NewServeMux(), watches: make(chan struct{}, MaxWatches)}
	h.readRoutes()
	h.changeRoutes()
	h.route("", "", func(*request) (response, error) {
		return response{}, newFailure(http.StatusNotFound, CodeNotFound, "no such route or method")
	})
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

// request is a request being served, with its operator and audit record.
type request struct {
	*http.Request
	operator string
	record   Record
}

// response is the answer to a successful request.
type response struct {
	status int
	body   any
}

// okResponse returns a response with status 200.
func okResponse(body any) (response, error) { return response{http.StatusOK, body}, nil }

// endpoint serves one route.
type endpoint func(*request) (response, error)

// route registers fn for a path; an empty method matches every method.
func (h *Handler) route(method, path string, fn endpoint) {
	pattern := Prefix + path
	if method != "" {
		pattern = method + " " + pattern
	}
	h.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		h.serve(w, r, path, fn)
	})
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request, path string, fn endpoint) {
	q := &request{Request: r}
	q.record = Record{Remote: r.RemoteAddr, Method: r.Method, Route: path}
	out, err := h.authenticateAndCall(q, fn)
	status, body := out.status, out.body
	q.record.Outcome = "ok"
	v := verdict.Ran
	if err != nil {
		f := failureOf(err, q.record.Operation)
		status, body, v = f.status, &f.body, f.body.Verdict
		q.record.Outcome = string(f.body.Code)
	}
	if status == http.StatusAccepted {
		v = verdict.MayHaveRun
		q.record.Outcome = string(CodeOutcomeUnknown)
	}
	q.record.Status = status
	// The record is written before the answer, so that it exists once the client
	// has received the answer.
	h.cfg.Auditor.Audit(q.record)
	writeJSON(w, status, v, body)
}

func (h *Handler) authenticateAndCall(q *request, fn endpoint) (response, error) {
	name, known := h.cfg.Operators.authenticate(q.Request)
	if !known {
		return response{}, newFailure(http.StatusUnauthorized, CodeUnauthenticated, "a valid bearer token is needed")
	}
	q.operator = name
	q.record.Operator = name
	return fn(q)
}

func writeJSON(w http.ResponseWriter, status int, v verdict.Verdict, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		status = http.StatusInternalServerError
		raw = []byte(`{"code":"internal","message":"the answer could not be encoded","verdict":"may-have-run"}`)
		v = verdict.MayHaveRun
	}
	raw = append(raw, '\n')
	hd := w.Header()
	hd.Set("Content-Type", "application/json")
	hd.Set("Content-Length", strconv.Itoa(len(raw)))
	hd.Set("Cache-Control", "no-store")
	hd.Set(verdict.Header, v.String())
	if status == http.StatusUnauthorized {
		hd.Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(status)
	// A failed write means that the client has disconnected; it will retry.
	_, _ = w.Write(raw)
}
