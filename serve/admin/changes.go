package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/azurethread/azurethread/decide/change"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/verdict"
)

func (h *Handler) changeRoutes() {
	h.route("PUT", "services/{name}", h.putService)
	h.route("DELETE", "services/{name}", h.removeService)
	h.route("POST", "shifts", h.addShift)
	h.route("PUT", "shifts/{id}", h.changeShift)
	h.route("DELETE", "shifts/{id}", h.removeShift)
	h.route("POST", "shifts/{id}/approve", h.shiftAction(change.KindApprove))
	h.route("POST", "shifts/{id}/start", h.shiftAction(change.KindStart))
	h.route("POST", "shifts/{id}/pause", h.shiftAction(change.KindPause))
	h.route("POST", "shifts/{id}/resume", h.shiftAction(change.KindResume))
	h.route("POST", "shifts/{id}/rollback", h.shiftAction(change.KindRollBack))
}

// decode decodes the body into v. The body is at most MaxBody bytes and holds one
// JSON value without unknown fields. An empty body leaves v unchanged.
func (q *request) decode(v any) error {
	raw, err := io.ReadAll(io.LimitReader(q.Body, MaxBody+1))
	if err != nil {
		return newFailure(http.StatusBadRequest, CodeBadRequest, "the body could not be read whole")
	}
	if len(raw) > MaxBody {
		return newFailure(http.StatusRequestEntityTooLarge, CodeTooLarge, "the body is larger than 1 MiB")
	}
	if len(raw) == 0 {
		return nil
	}
	return decodeStrict(raw, v)
}

func decodeStrict(raw []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return jsonFailure(err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return newFailure(http.StatusBadRequest, CodeBadRequest, "the body holds more than one JSON value")
	}
	return nil
}

func jsonFailure(err error) error {
	f := &failure{http.StatusBadRequest, Error{Code: CodeBadRequest, Message: "the body is not the JSON expected: " + err.Error()}}
	f.body.Verdict = verdict.NotRun
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) && wrong.Field != "" {
		f.body.Fields = []change.FieldError{{Path: wrong.Field, Message: "must not be a JSON " + wrong.Value}}
	}
	return f
}

func (h *Handler) putService(q *request) (response, error) {
	var body change.PutService
	if err := q.decode(&body); err != nil {
		return response{}, err
	}
	if err := q.checkPathParam("name", "service.name", string(body.Service.Name)); err != nil {
		return response{}, err
	}
	return h.change(q, change.Operation{Kind: change.KindPutService, PutService: &body})
}

func (h *Handler) removeService(q *request) (response, error) {
	expect, err := q.uintParam("expect")
	if err != nil {
		return response{}, err
	}
	name := fleet.ServiceName(q.PathValue("name"))
	return h.change(q, change.Operation{
		Kind:          change.KindRemoveService,
		RemoveService: &change.RemoveService{Name: name, Expect: expect},
	})
}

func (h *Handler) addShift(q *request) (response, error) {
	var body change.AddShift
	if err := q.decode(&body); err != nil {
		return response{}, err
	}
	return h.change(q, change.Operation{Kind: change.KindAddShift, AddShift: &body})
}

func (h *Handler) changeShift(q *request) (response, error) {
	var body change.ChangeShift
	if err := q.decode(&body); err != nil {
		return response{}, err
	}
	if err := q.checkPathParam("id", "entry.id", body.Entry.ID); err != nil {
		return response{}, err
	}
	return h.change(q, change.Operation{Kind: change.KindChangeShift, ChangeShift: &body})
}

func (h *Handler) removeShift(q *request) (response, error) {
	expect, err := q.uintParam("expect")
	if err != nil {
		return response{}, err
	}
	ref := &change.ShiftRef{ID: q.PathValue("id"), Expect: expect}
	return h.change(q, change.Operation{Kind: change.KindRemove, Shift: ref})
}

func (h *Handler) shiftAction(kind change.Kind) endpoint {
	return func(q *request) (response, error) {
		var body ShiftAction
		if err := q.decode(&body); err != nil {
			return response{}, err
		}
		ref := &change.ShiftRef{ID: q.PathValue("id"), Expect: body.Expect, Reason: body.Reason}
		return h.change(q, change.Operation{Kind: kind, Shift: ref})
	}
}

// checkPathParam refuses a body that names another entry than the path.
func (q *request) checkPathParam(param, field, named string) error {
	if q.PathValue(param) == named {
		return nil
	}
	return &change.Invalid{Fields: []change.FieldError{{Path: field, Message: "must be the one in the path"}}}
}

// change sets the id and operator of op and has the Changer execute it.
func (h *Handler) change(q *request, op change.Operation) (response, error) {
	op.Operator = q.operator
	op.ID = q.Header.Get(OperationHeader)
	if op.ID == "" {
		op.ID = h.cfg.NewOperationID()
	}
	if len(op.ID) > change.MaxNameLen {
		return response{}, newFailure(http.StatusBadRequest, CodeBadRequest, "the operation id is too long")
	}
	q.record.Operation = op.ID
	q.record.Kind = op.Kind
	q.record.Entry = op.Subject()
	q.record.SelfApproved = h.selfApproved(op)

	ctx, cancel := context.WithTimeout(q.Context(), h.cfg.ChangeTimeout)
	defer cancel()
	a, err := h.cfg.Changer.Change(ctx, op)
	if err != nil {
		return response{}, err
	}
	a.Operation = op.ID
	q.record.Revision = a.Revision
	if !a.Settled {
		return response{http.StatusAccepted, a}, nil
	}
	return okResponse(a)
}

// selfApproved reports whether op is an approval by the entry's author.
func (h *Handler) selfApproved(op change.Operation) bool {
	c := h.cfg.Viewer.Catalogue()
	if op.Kind != change.KindApprove || c == nil {
		return false
	}
	s, found := c.Shift(op.Shift.ID)
	return found && s.Author == op.Operator
}
