package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/serve/daemon"
	"github.com/azurethread/azurethread/serve/settings"
	"github.com/azurethread/azurethread/standin/platform"
)

func TestPath(t *testing.T) {
	is := is.New(t)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/loadz" {
			fmt.Fprint(w, `{"in_flight":0,"slots":3}`)
			return
		}
		b, _ := io.ReadAll(r.Body)
		fmt.Fprintf(w, "%s %s %s", r.Method, r.URL, b)
	}))
	defer srv.Close()
	p := platform.New(platform.Options{})
	is.NoErr(p.Start("127.0.0.1:0"))
	defer p.Close()
	addr := strings.TrimPrefix(srv.URL, "http://")
	p.SetMachines(fleet.List{Version: 2, Targets: []fleet.Target{{ID: "t1", Service: "calc", Region: "attiki", Domain: "attiki-1", Addr: addr, Slots: 3, Connections: 330}}})
	b, _ := json.Marshal(catalogue.Catalogue{Revision: 1, Services: []catalogue.Service{{Name: "calc", Idempotent: true, Priority: catalogue.Interactive}, {Name: "fee"}}})
	_, err := p.Store().CompareAndSwap(context.Background(), "azurethread/catalogue", b, 0)
	is.NoErr(err)
	f := settings.Flags()
	is.NoErr(f.Parse([]string{"--id=a", "--region=attiki", "--domain=attiki-1", "--call-addr=127.0.0.1:0", "--peer-addr=127.0.0.1:0", "--admin-addr=127.0.0.1:0", "--platform-url=http://" + p.Addr(), "--fleet-key=0123456789abcdef0123456789abcdef"}))
	set, err := settings.Load(f)
	is.NoErr(err)
	d, err := daemon.Start(set, p.Store(), logrus.New())
	is.NoErr(err)
	time.Sleep(300 * time.Millisecond)
	get := func(m, u, body string) {
		r, _ := http.NewRequest(m, "http://"+d.CallAddr()+u, strings.NewReader(body))
		res, err := http.DefaultClient.Do(r)
		is.NoErr(err)
		b, err := io.ReadAll(res.Body)
		is.NoErr(err)
		t.Log(res.Status, res.Header, string(b))
	}
	get("GET", "/v1/lookup?service=calc&client=10.1.2.3", "")
	get("GET", "/v1/lookup?service=fee&tokens=2", "")
	get("GET", "/v1/call/calc/x/y?z=1", "")
	get("POST", "/v1/call/calc/x", "hello")
	get("HEAD", "/v1/call/calc/x", "")
	get("GET", "/v1/call/nope/x", "")
	get("POST", "/v1/call/fee/x", "")
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	is.NoErr(d.Stop(ctx))
}
