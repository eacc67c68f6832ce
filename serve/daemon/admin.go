package daemon

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"

	"github.com/lesismal/nbio/nbhttp"
)

// provisionAdmin starts the administration interface.
func (d *Daemon) provisionAdmin() error {
	ln, err := net.Listen("tcp", d.set.AdminAddr)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /debug/vars", d.serveVars)
	d.admin = nbhttp.NewServer(nbhttp.Config{
		Name:    "admin",
		Network: "tcp",
		Addrs:   []string{ln.Addr().String()},
		Listen:  func(string, string) (net.Listener, error) { return ln, nil },
		Handler: mux,
	})
	return d.admin.Start()
}

func (d *Daemon) adminAddr() string { return strings.Join(d.admin.Addrs, ",") }

// serveVars serves the daemon's metrics in expvar's form.
func (d *Daemon) serveVars(w http.ResponseWriter, _ *http.Request) {
	b := []byte(d.metrics.vars.String())
	if !json.Valid(b) {
		http.Error(w, "metrics are not readable", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.Header().Set("Content-Length", fmt.Sprint(len(b)))
	_, _ = w.Write(b)
}
