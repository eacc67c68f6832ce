package capacity

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/azurethread/azurethread/decide/block"
	"github.com/azurethread/azurethread/decide/block/blocktest"
	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/steer/slope"
	"github.com/azurethread/azurethread/serve/daemon"
	"github.com/azurethread/azurethread/serve/settings"
	"github.com/azurethread/azurethread/standin/platform"
)

var httpPath = flag.String("http-lookups", "", "measure look-ups over HTTP and write the result to this file")

const httpCommand = "go test -run TestWriteHTTPLookups ./operate/capacity -http-lookups docs/capacity/http.json"

// fleetEnv names a file of client blocks. If it is set, the test binary runs
// entry VMs instead of tests, so that their processor time is measured
// separately from that of the callers.
const fleetEnv = "AZURETHREAD_CAPACITY_FLEET"

// readyPrefix is the prefix of the line with the address for look-ups.
const readyPrefix = "ready"

// The fleet and the load of the measurement. The fleet has as many entry VMs as
// the users have now; callers send look-ups to one of them.
const (
	httpVMs      = 8
	httpRegions  = 4
	httpCallers  = 16
	httpDuration = 5 * time.Second
	httpRuns     = 5
	httpBlocks   = 2_300_000
	// startTimeout is the longest time for the entry VMs to discover each other.
	startTimeout = time.Minute
	// clockTick is the unit of processor time in /proc, USER_HZ of Linux.
	clockTick = 10 * time.Millisecond
)

func TestMain(m *testing.M) {
	if file := os.Getenv(fleetEnv); file != "" {
		if err := runFleet(file); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// runFleet runs entry VMs until stdin ends. Once the first one is ready and has
// discovered the others, runFleet prints its address for look-ups.
func runFleet(blocks string) error {
	p := platform.New(platform.Options{})
	if err := p.Start("127.0.0.1:0"); err != nil {
		return err
	}
	defer p.Close()
	c := catalogue.Catalogue{Revision: 1, Services: []catalogue.Service{{Name: "calc", Idempotent: true}}}
	if err := daemon.PutCatalogue(context.Background(), p.Store(), c); err != nil {
		return err
	}
	vms, err := httpFleet()
	if err != nil {
		return err
	}
	p.SetMachines(fleet.List{Version: 2, VMs: vms})
	var all []*daemon.Daemon
	for i, vm := range vms {
		file := ""
		if i == 0 {
			file = blocks
		}
		d, err := startVM(p, vm, file)
		if err != nil {
			return err
		}
		all = append(all, d)
	}
	end := time.Now().Add(startTimeout)
	for !all[0].Ready() || all[0].KnownVMs() < httpVMs {
		if time.Now().After(end) {
			return fmt.Errorf("entry VMs did not start in time: ready %v, %d of %d known", all[0].Ready(), all[0].KnownVMs(), httpVMs)
		}
		time.Sleep(10 * time.Millisecond)
	}
	fmt.Println(readyPrefix, all[0].CallAddr())
	_, err = io.Copy(io.Discard, os.Stdin)
	return err
}

// httpFleet returns entry VMs distributed over regions of two failure domains.
func httpFleet() ([]fleet.VM, error) {
	var vms []fleet.VM
	for i := range httpVMs {
		region := blocktest.RegionName(i % httpRegions)
		domain := fleet.Domain(fmt.Sprintf("%s-d%d", region, i/httpRegions))
		vm := fleet.VM{ID: fleet.VMID(fmt.Sprintf("entry-%d", i)), Region: region, Domain: domain, Site: fleet.Site(domain), Incarnation: 1}
		for _, addr := range []*string{&vm.CallAddr, &vm.PeerAddr, &vm.AdminAddr} {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return nil, err
			}
			*addr = ln.Addr().String()
			if err := ln.Close(); err != nil {
				return nil, err
			}
		}
		vms = append(vms, vm)
	}
	return vms, nil
}

func startVM(p *platform.Server, vm fleet.VM, blocks string) (*daemon.Daemon, error) {
	f := settings.Flags()
	err := f.Parse([]string{
		"--id=" + string(vm.ID), "--region=" + string(vm.Region), "--domain=" + string(vm.Domain),
		"--call-addr=" + vm.CallAddr, "--peer-addr=" + vm.PeerAddr, "--admin-addr=" + vm.AdminAddr,
		"--platform-url=http://" + p.Addr(), "--fleet-key=a key for measurements, not a secret",
		"--blocks-file=" + blocks,
	})
	if err != nil {
		return nil, err
	}
	set, err := settings.Load(f)
	if err != nil {
		return nil, err
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	return daemon.Start(set, p.Store(), log)
}

// TestWriteHTTPLookups measures how many look-ups a core answers. It divides
// the number of look-ups by the processor time that a process of entry VMs on
// one core uses for them, less the time that it uses at rest.
func TestWriteHTTPLookups(t *testing.T) {
	if *httpPath == "" {
		t.Skip("measures only with -http-lookups FILE")
	}
	tab := blocktest.Table(httpBlocks, blocktest.Topology(httpRegions, 2*httpRegions), true, 1)
	pid, addr := startFleet(t, tab)
	clients := blocktest.Addrs(tab, 1<<12, 1)
	var urls []string
	for _, a := range clients {
		urls = append(urls, "http://"+addr+"/v1/lookup?service=calc&client="+a.String())
	}
	atStart := processCPU(t, pid)
	time.Sleep(httpDuration)
	idle := processCPU(t, pid) - atStart

	var all []float64
	for range httpRuns {
		before := processCPU(t, pid)
		n := measureLookups(t, urls)
		used := processCPU(t, pid) - before - idle
		all = append(all, float64(n)/used.Seconds())
	}
	t.Logf("idle %v of %v; look-ups per core second %v", idle, httpDuration, all)
	if t.Failed() {
		return
	}
	slices.Sort(all) // the result is the median
	text, err := json.MarshalIndent(slope.File{Series: []slope.Series{{
		Name: "http-lookups/once", Title: "HTTP look-ups per second of processor time, 8 entry VMs, 2.3 M blocks", Unit: "/s", X: "entry VM",
		Points: []slope.Point{{X: 1, Y: all[len(all)/2]}}, Command: httpCommand, Cores: 1, Date: time.Now().UTC().Format(time.DateOnly),
	}}}, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	path := *httpPath
	if !filepath.IsAbs(path) {
		path = filepath.Join("..", "..", path) // tests run in the folder of their package
	}
	if err := os.WriteFile(path, append(text, '\n'), 0o644); err != nil {
		t.Fatal(err)
	}
}

func startFleet(t *testing.T, tab *block.Table) (pid int, addr string) {
	file := filepath.Join(t.TempDir(), "blocks.txt")
	f, err := os.Create(file)
	if err != nil {
		t.Fatal(err)
	}
	if err := block.Write(f, tab); err != nil {
		t.Fatal(err)
	}
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), fleetEnv+"="+file, "GOMAXPROCS=1")
	c.Stderr = os.Stderr
	in, err := c.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	out, err := c.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = in.Close() // ends the process
		_ = c.Wait()
	})
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		// nbio logs to stdout as well.
		if addr, ok := strings.CutPrefix(lines.Text(), readyPrefix+" "); ok {
			return c.Process.Pid, addr
		}
	}
	t.Fatalf("entry VMs did not start: %v", lines.Err())
	return 0, ""
}

// measureLookups sends look-ups from all callers for httpDuration and returns
// how many were answered. A failed look-up fails the test.
func measureLookups(t *testing.T, urls []string) int64 {
	tr := &http.Transport{MaxIdleConnsPerHost: httpCallers}
	defer tr.CloseIdleConnections()
	client := &http.Client{Transport: tr}
	var n atomic.Int64
	var wg sync.WaitGroup
	end := time.Now().Add(httpDuration)
	for c := range httpCallers {
		wg.Go(func() {
			for i := c; time.Now().Before(end); i += httpCallers {
				if err := lookUpOnce(client, urls[i%len(urls)]); err != nil {
					t.Error(err)
					return
				}
				n.Add(1)
			}
		})
	}
	wg.Wait()
	return n.Load()
}

func lookUpOnce(client *http.Client, url string) error {
	res, err := client.Get(url)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	var body struct {
		EntryVMs []struct{} `json:"entry_vms"`
	}
	if err := json.NewDecoder(res.Body).Decode(&body); err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK || len(body.EntryVMs) < 2 {
		return fmt.Errorf("status %d with %d entry VMs", res.StatusCode, len(body.EntryVMs))
	}
	return nil
}

// processCPU returns the processor time that a process has used.
func processCPU(t *testing.T, pid int) time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		t.Fatal(err)
	}
	// The fields after the command's name, which is in parentheses.
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	const user, system = 11, 12
	var ticks time.Duration
	for _, i := range []int{user, system} {
		n, err := strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		ticks += time.Duration(n)
	}
	return ticks * clockTick
}
