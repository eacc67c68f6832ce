package daemon

import (
	"encoding/json"
	"net/http"
	"runtime/debug"
	"strconv"

	"github.com/google/uuid"

	"github.com/azurethread/azurethread/serve/admin"
	"github.com/azurethread/azurethread/serve/inbound"
)

// adminBodySlack is added to the administration API's own bound on bodies, so
// that its answer to a larger one, with the field's name, goes out.
const adminBodySlack = 64 << 10

// provisionAdmin starts the administration interface. It is served by package
// inbound as well: nbhttp's own server closes a connection with answers still
// queued, and buffers bodies of anybody up to 64 MiB.
func (d *Daemon) provisionAdmin() error {
	operators, err := admin.ParseOperators(d.settings.Operators)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /debug/vars", d.serveVars)
	mux.Handle(admin.Prefix, admin.New(admin.Config{
		Changer:        changer{d},
		Settler:        changer{d},
		Viewer:         viewer{d},
		Operators:      operators,
		Auditor:        admin.LogAuditor{Log: d.log},
		NewOperationID: uuid.NewString,
		Stopping:       d.ctx.Done(),
	}))
	d.admin, err = inbound.Listen(d.settings.AdminAddr, inbound.Options{
		Limits: inbound.Limits{
			HeadBytes:   d.settings.MaxHeadBytes,
			BodyBytes:   admin.MaxBody + adminBodySlack,
			ReadTimeout: d.settings.ReadTimeout,
			IdleTimeout: d.settings.IdleTimeout,
		},
		WriteTimeout: d.settings.WriteTimeout,
		Pollers:      1,
		Refusal:      refusalByStatus,
	})
	if err != nil {
		return err
	}
	d.adminAddr = d.admin.Addr()
	d.adminPages = inbound.Standard(mux, func(v any) {
		d.log.WithField("panic", v).WithField("stack", string(debug.Stack())).Error("administration page failed")
	})
	return nil
}

// serveVars serves the daemon's metrics in expvar's form.
func (d *Daemon) serveVars(w http.ResponseWriter, _ *http.Request) {
	b := []byte(d.metrics.vars.String())
	if !json.Valid(b) {
		http.Error(w, "metrics are not readable", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	_, _ = w.Write(b)
}
