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

// adminBodySlack is added to the body limit of the administration API, so that
// the API itself answers a slightly larger body with its own JSON error.
const adminBodySlack = 64 << 10

// provisionAdmin starts the administration interface. It uses package inbound
// rather than nbhttp's server, which closes a connection with answers still
// queued and buffers bodies of up to 64 MiB from unauthenticated clients.
func (d *Daemon) provisionAdmin() error {
	operators, err := admin.ParseOperators(d.settings.Operators)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /debug/vars", d.serveVars)
	mux.Handle(admin.Prefix, admin.New(admin.Config{
		Changer:        changer{d},
		OutcomeFinder:  changer{d},
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
		Account:      d.clients,
		WriteTimeout: d.settings.WriteTimeout,
		Pollers:      1,
		Refusal:      refusalByStatus,
	})
	if err != nil {
		return err
	}
	d.adminAddr = d.admin.Addr()
	d.adminPages = inbound.FromHTTPHandler(mux, func(v any) {
		d.log.WithField("panic", v).WithField("stack", string(debug.Stack())).Error("administration handler panicked")
	})
	return nil
}

// serveVars serves the daemon's metrics as JSON in the format of expvar.
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
