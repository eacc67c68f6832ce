package admin

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/azurethread/azurethread/decide/catalogue"
)

func (h *Handler) readRoutes() {
	h.route("GET", "catalogue", h.getCatalogue)
	h.route("GET", "services", h.getServices)
	h.route("GET", "shifts", h.getShifts)
	h.route("GET", "shifts/{id}", h.getShift)
	h.route("GET", "status", h.getStatus)
	h.route("GET", "inforce", h.getInForce)
	h.route("GET", "watch", h.getWatch)
	h.route("GET", "operations/{id}", h.getOperation)
}

// catalogue returns the catalogue in force, or a failure if none has been
// received yet.
func (h *Handler) catalogue() (*catalogue.Catalogue, error) {
	c := h.cfg.Viewer.Catalogue()
	if c == nil {
		return nil, newFailure(http.StatusServiceUnavailable, CodeNotReady, "no catalogue has been received yet")
	}
	return c, nil
}

func (h *Handler) getCatalogue(*request) (response, error) {
	c, err := h.catalogue()
	if err != nil {
		return response{}, err
	}
	return okResponse(c)
}

func (h *Handler) getServices(*request) (response, error) {
	c, err := h.catalogue()
	if err != nil {
		return response{}, err
	}
	return okResponse(Services{Revision: c.Revision, Services: notNil(c.Services)})
}

func (h *Handler) getShifts(*request) (response, error) {
	c, err := h.catalogue()
	if err != nil {
		return response{}, err
	}
	return okResponse(Shifts{Revision: c.Revision, Shifts: notNil(c.Shifts)})
}

// notNil replaces a nil list by an empty one, so that it is encoded as [] and not
// as null.
func notNil[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}

func (h *Handler) getShift(q *request) (response, error) {
	c, err := h.catalogue()
	if err != nil {
		return response{}, err
	}
	s, found := c.Shift(q.PathValue("id"))
	if !found {
		return response{}, newFailure(http.StatusNotFound, CodeNotFound, "no such shift at revision "+strconv.FormatUint(c.Revision, 10))
	}
	return okResponse(s)
}

func (h *Handler) getStatus(*request) (response, error) { return okResponse(h.cfg.Viewer.Status()) }

func (h *Handler) getInForce(q *request) (response, error) {
	rev, err := q.uintParam("revision")
	if err != nil {
		return response{}, err
	}
	return okResponse(h.cfg.Viewer.InForce(q.Context(), rev))
}

func (h *Handler) getOperation(q *request) (response, error) {
	ctx, cancel := context.WithTimeout(q.Context(), h.cfg.ChangeTimeout)
	defer cancel()
	id := q.PathValue("id")
	out, err := h.cfg.OutcomeFinder.FindOutcome(ctx, id)
	q.record.Operation = id
	if err != nil {
		return response{}, err
	}
	return okResponse(out)
}

// getWatch answers once the revision in force is above "after", or after "wait".
// It polls the revision, so that the Viewer needs no notifications; a delay of up
// to 50 ms does not matter to clients.
func (h *Handler) getWatch(q *request) (response, error) {
	after, err := q.uintParam("after")
	if err != nil {
		return response{}, err
	}
	wait, err := q.waitParam()
	if err != nil {
		return response{}, err
	}
	select {
	case h.watches <- struct{}{}:
		defer func() { <-h.watches }()
	default:
		return response{}, newFailure(http.StatusTooManyRequests, CodeTooManyWatches, "too many watches wait here already")
	}
	changed := h.waitForRevision(q.Context(), after, wait)
	s := h.cfg.Viewer.Status()
	return okResponse(Watch{Revision: s.Revision, Changed: changed, Status: s})
}

func (h *Handler) waitForRevision(ctx context.Context, after uint64, wait time.Duration) bool {
	end := time.NewTimer(wait)
	defer end.Stop()
	tick := time.NewTicker(watchPoll)
	defer tick.Stop()
	for {
		if c := h.cfg.Viewer.Catalogue(); c != nil && c.Revision > after {
			return true
		}
		select {
		case <-tick.C:
		case <-end.C:
			return false
		case <-ctx.Done():
			return false
		case <-h.cfg.Stopping:
			return false
		}
	}
}

// uintParam parses a decimal query parameter; an absent one is zero.
func (q *request) uintParam(name string) (uint64, error) {
	text := q.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, newFailure(http.StatusBadRequest, CodeBadRequest, "query parameter "+name+" must be a whole number")
	}
	return n, nil
}

func (q *request) waitParam() (time.Duration, error) {
	text := q.URL.Query().Get("wait")
	if text == "" {
		return DefaultWatchWait, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 || d > MaxWatchWait {
		return 0, newFailure(http.StatusBadRequest, CodeBadRequest, "query parameter wait must be a duration of at most "+MaxWatchWait.String())
	}
	return d, nil
}
