package admin

import (
	"github.com/sirupsen/logrus"

	"github.com/azurethread/azurethread/decide/change"
)

// Record is the audit record of one administration request.
type Record struct {
	Operator  string // empty if authentication failed
	Remote    string // address of the client
	Method    string
	Route     string      // route pattern, or "" for an unknown path
	Operation string      // operation id of a change
	Kind      change.Kind // empty for reads
	Entry     string      // shift id or service name
	Outcome   string      // "ok" or the Code of the failure
	Status    int         // HTTP status
	Revision  uint64      // catalogue revision of an accepted change
	// SelfApproved marks an approval of a shift by its author, which is allowed
	// for emergency shifts only.
	SelfApproved bool
}

// Auditor stores audit records.
type Auditor interface {
	Audit(Record)
}

// LogAuditor writes each record as one log entry.
type LogAuditor struct {
	Log logrus.FieldLogger
}

// Audit implements Auditor.
func (a LogAuditor) Audit(r Record) {
	f := logrus.Fields{
		"operator": r.Operator,
		"remote":   r.Remote,
		"method":   r.Method,
		"route":    r.Route,
		"outcome":  r.Outcome,
		"status":   r.Status,
	}
	if r.Operation != "" {
		f["operation"] = r.Operation
	}
	if r.Kind != "" {
		f["kind"] = r.Kind
		f["entry"] = r.Entry
		f["revision"] = r.Revision
	}
	if r.SelfApproved {
		f["self_approved"] = true
	}
	a.Log.WithFields(f).Info("administration")
}
