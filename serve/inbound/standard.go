package inbound

import (
	"bytes"
	"context"
	"net/http"
	"net/url"
)

// FromHTTPHandler adapts a net/http handler whose work may block: each request
// runs on its own goroutine. The answer is sent when the handler returns, so its
// size must be bounded. A panic of the handler gives status 500 and is passed to
// onPanic: a defect of one page must not end a process that serves callers.
func FromHTTPHandler(h http.Handler, onPanic func(v any)) Handler { return httpHandler{h, onPanic} }

type httpHandler struct {
	h       http.Handler
	onPanic func(v any)
}

// Serve implements Handler.
func (s httpHandler) Serve(x *Exchange) {
	r, cancel, err := httpRequest(x)
	if err != nil {
		x.Respond(http.StatusBadRequest, nil, nil)
		return
	}
	x.OnCallerGone(cancel)
	go func() {
		defer cancel()
		w := s.run(r)
		x.Respond(w.status, w.header, w.body.Bytes())
	}()
}

// run calls the handler and recovers its panic.
func (s httpHandler) run(r *http.Request) (w *recorder) {
	w = &recorder{header: make(http.Header)}
	defer func() {
		if v := recover(); v != nil {
			s.onPanic(v)
			w = &recorder{header: make(http.Header), status: http.StatusInternalServerError}
		}
	}()
	s.h.ServeHTTP(w, r)
	w.WriteHeader(http.StatusOK)
	return w
}

// httpRequest converts an exchange's request to a net/http request. Its context
// is cancelled when the caller disconnects.
func httpRequest(x *Exchange) (*http.Request, context.CancelFunc, error) {
	u, err := url.ParseRequestURI(x.URI)
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	r, err := http.NewRequestWithContext(ctx, x.Method, "/", bytes.NewReader(x.Body))
	if err != nil {
		cancel()
		return nil, nil, err
	}
	r.URL = u
	r.RequestURI = x.URI
	r.Header = x.Header
	r.Host = x.Header.Get("Host")
	r.RemoteAddr = x.Remote.String()
	return r, cancel, nil
}

// recorder is an http.ResponseWriter that stores the answer.
type recorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (w *recorder) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *recorder) WriteHeader(status int) {
	if w.status == 0 {
		w.status = status
	}
}

// Write implements http.ResponseWriter.
func (w *recorder) Write(b []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	return w.body.Write(b)
}
