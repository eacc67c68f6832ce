// Command standin runs one review case: it starts the project's daemons as processes, with
// a store, upstreams and clients of its own, and checks the rules by what these have seen.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNoRun  = 2
)

// world is one run of a case.
type world struct {
	root, dir string // the repository, and a temporary folder
	trouble   bool   // the disruption takes place
	net       string // the first three parts of all addresses
	store     *store
	vms       []*vm
	ups       []*upstream
	books     *book
	ledger    *ledger
	began     time.Time

	mu     sync.Mutex
	out    *os.File
	broken map[string][]string // found by the case itself, by rule
}

func (w *world) log(format string, a ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.out, "%9.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, a...))
}

// fail records that a rule was broken.
func (w *world) fail(rule, format string, a ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.broken == nil {
		w.broken = map[string][]string{}
	}
	w.broken[rule] = append(w.broken[rule], fmt.Sprintf(format, a...))
}

func (w *world) ip(host int) string { return fmt.Sprintf("%s.%d", w.net, host) }

// start starts a store and one VM in each of the named zones.
func (w *world) start(vmZones ...string) error {
	var err error
	if w.store, err = newStore(w.ip(250) + ":0"); err != nil {
		return err
	}
	var seeds []string
	for i, z := range vmZones {
		v, err := newVM(fmt.Sprintf("front-%s-%d", z, i+1), z, w.ip(i+1))
		if err != nil {
			return err
		}
		w.vms = append(w.vms, v)
		if len(seeds) < 3 {
			seeds = append(seeds, v.control)
		}
	}
	for _, v := range w.vms {
		if err := v.start(w.root, w.dir, w.store.addr, seeds); err != nil {
			return err
		}
		w.log("starts %s at %s, process %d", v.name, v.front, v.cmd.Process.Pid)
	}
	return nil
}

func (w *world) upstream(id, service, zone string, slots int, behave behaviour) (*upstream, error) {
	u, err := startUpstream(id, service, zone, w.ip(100)+":0", slots, w.books, w.store, behave)
	if err == nil {
		w.mu.Lock()
		w.ups = append(w.ups, u)
		w.mu.Unlock()
		w.log("starts upstream %s of %s in %s at %s", id, service, zone, u.addr)
	}
	return u, err
}

func (w *world) waitReady() error {
	for _, v := range w.vms {
		if err := v.waitReady(15 * time.Second); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second)
	return nil
}

func (w *world) end() {
	for _, v := range w.vms {
		v.kill()
	}
	for _, u := range w.ups {
		u.close()
	}
	if w.store != nil {
		w.store.srv.Close()
	}
}

// cases are the cases by name. They return an error if they could not run.
var cases = map[string]func(*world) error{}

func runCase(name, folder string) int {
	root, err := os.Getwd()
	if err != nil {
		return exitNoRun
	}
	out, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Println(err)
		return exitNoRun
	}
	defer out.Close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Println(err)
		return exitNoRun
	}
	defer os.RemoveAll(dir)
	w := &world{root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0", out: out, began: time.Now(),
		net: fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))}
	w.books = &book{runs: map[string][]run{}, log: w.log}
	w.ledger = &ledger{log: w.log}
	if os.Getenv("REVIEW_QUIET") != "" {
		w.books.log, w.ledger.log = func(string, ...any) {}, func(string, ...any) {}
	}
	w.log("case %s, trouble %v", name, w.trouble)
	err = cases[name](w)
	ended := ""
	for _, v := range w.vms {
		if v.cmd != nil && !v.running() && v.exit != "<nil>" {
			ended += fmt.Sprintf(" %s: %s;", v.name, v.exit)
		}
	}
	if keep := os.Getenv("REVIEW_LOGS"); keep != "" { // a folder that keeps the VMs' logs
		for _, v := range w.vms {
			if b, err := os.ReadFile(v.log); err == nil {
				_ = os.WriteFile(filepath.Join(keep, v.name+".log"), b, 0o600)
			}
		}
	}
	w.end()
	if err != nil {
		w.log("could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitNoRun
	}
	if ended != "" {
		w.log("processes that ended by themselves:%s", ended)
	}
	found := verdicts(w.ledger, w.books)
	for rule, list := range w.broken {
		found[rule] = append(found[rule], list...)
	}
	w.ledger.mu.Lock()
	status := map[int]int{}
	for _, s := range w.ledger.list {
		status[s.Status]++
	}
	w.ledger.mu.Unlock()
	w.log("requests by status (0: no answer): %v", status)
	fmt.Println("requests by status (0: no answer):", status)
	broken := false
	for rule, list := range found {
		for i, l := range list {
			w.log("BROKEN %s: %s", rule, l)
			if i < 5 {
				fmt.Println("BROKEN", rule+":", l)
			}
		}
		fmt.Println(rule, len(list))
		broken = true
	}
	if broken {
		return exitBroken
	}
	w.log("no rule was broken")
	fmt.Println("no rule was broken")
	return exitHeld
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standin CASE FOLDER")
		os.Exit(exitNoRun)
	}
	timer := time.AfterFunc(110*time.Second, func() { os.Exit(exitNoRun) }) // run.sh ends the VMs
	code := runCase(os.Args[1], os.Args[2])
	timer.Stop()
	if pids := os.Getenv("REVIEW_PIDS"); pids != "" {
		_ = os.Remove(pids) // all have ended
	}
	os.Exit(code)
}
