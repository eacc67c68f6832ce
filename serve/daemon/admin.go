package daemon

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"

	"github.com/google/uuid"
	"github.com/lesismal/nbio/nbhttp"

	"github.com/azurethread/azurethread/serve/admin"
)

const adminBodySlack = 64 << 10

// provisionAdmin starts the administration interface.
func (d *Daemon) provisionAdmin() error {
	operators, err := admin.ParseOperators(d.set.Operators)
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", d.set.AdminAddr)
	if err != nil {
		return err
	}
	d.adminAddr = ln.Addr().String()
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
	d.admin = nbhttp.NewServer(nbhttp.Config{
		Name:    "admin",
		Network: "tcp",
		Addrs:   []string{d.adminAddr},
		Listen:  func(string, string) (net.Listener, error) { return ln, nil },
		Handler: mux,
		// Above the handler's own bound: nbhttp closes the connection of a
		// larger body without an answer.
		MaxHTTPBodySize: admin.MaxBody + adminBodySlack,
	})
	return d.admin.Start()
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
