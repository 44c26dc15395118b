//go:build review

// Package rig starts the project's programs, and stand-ins for clients, booking servers and the network,
// for the cases 6 to 10 of the review, and for its further findings.
package rig

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// init keeps the main goroutine on the main thread: processes get SIGKILL when the thread that started
// them ends.
func init() { runtime.LockOSThread() }

// The exit statuses of a case.
const (
	StatusHeld   = 0
	StatusBroken = 1
	StatusCannot = 2
)

// Rig is one run of a case.
type Rig struct {
	Trouble bool   // the disruption is applied
	Dir     string // temporary folder of the run
	root    string // of the project

	// Describe, if not nil, is called when a run cannot take place, to say what was found.
	Describe func() string

	began    time.Time
	mu       sync.Mutex
	rec      *os.File
	procs    []*Proc
	reserved map[string]net.Listener // free addresses, kept until the process that listens there is started
}

// New starts a run. The script passes the folder of the case; the working directory is the project's root.
func New() *Rig {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "the folder of the case is missing")
		os.Exit(StatusCannot)
	}
	r := &Rig{Trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), reserved: make(map[string]net.Listener)}
	var err error
	if r.rec, err = os.Create(filepath.Join(os.Args[1], "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(StatusCannot)
	}
	if r.root, err = os.Getwd(); err != nil {
		r.Cannot("%v", err)
	}
	if r.Dir, err = os.MkdirTemp("", "review"); err != nil {
		r.Cannot("%v", err)
	}
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-ended
		r.Logf("run: interrupted")
		r.end(StatusCannot)
	}()
	r.Logf("run: trouble=%v", r.Trouble)
	return r
}

// Since returns a time of this run as in the record.
func (r *Rig) Since(t time.Time) string { return fmt.Sprintf("%9.3f", t.Sub(r.began).Seconds()) }

// Logf writes a line to the record.
func (r *Rig) Logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.rec, "%s %s\n", r.Since(time.Now()), fmt.Sprintf(format, args...))
}

// Say writes a line to the record and to standard output.
func (r *Rig) Say(format string, args ...any) {
	r.Logf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Cannot ends a run that could not take place.
func (r *Rig) Cannot(format string, args ...any) {
	if r.Describe != nil {
		r.Say("%s", r.Describe())
	}
	r.Say("cannot run: "+format, args...)
	r.end(StatusCannot)
}

// Verdict ends the run: broken counts what broke the rule.
func (r *Rig) Verdict(broken int, text string) {
	if broken > 0 {
		r.Say("BROKEN: %d %s", broken, text)
		r.end(StatusBroken)
	}
	r.Say("held: 0 %s", text)
	r.end(StatusHeld)
}

// end kills all processes and exits.
func (r *Rig) end(status int) {
	r.mu.Lock()
	procs := r.procs
	r.mu.Unlock()
	for _, p := range procs {
		p.Kill()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(r.Dir)
	} else {
		fmt.Println("kept:", r.Dir)
	}
	r.rec.Close()
	os.Exit(status)
}

// FreeAddr returns a free loopback address. It stays reserved until Release.
func (r *Rig) FreeAddr() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.Cannot("%v", err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reserved[ln.Addr().String()] = ln
	return ln.Addr().String()
}

// Release ends the reservation of the addresses that a text names.
func (r *Rig) Release(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for addr, ln := range r.reserved {
		if strings.Contains(text, addr) {
			ln.Close()
			delete(r.reserved, addr)
		}
	}
}

// Write writes a file into the temporary folder: text as it is, anything else as JSON.
func (r *Rig) Write(name string, content any) (path string) {
	text, isText := content.(string)
	if !isText {
		b, err := json.MarshalIndent(content, "", " ")
		if err != nil {
			r.Cannot("%v", err)
		}
		text = string(b)
	}
	path = filepath.Join(r.Dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		r.Cannot("%v", err)
	}
	return path
}

// Proc is a process of the run.
type Proc struct {
	Name string
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// Start starts a shell command as deploy/balancer.toml does, from the project's root; its output goes to a file. It
// must be called by the main goroutine.
func (r *Rig) Start(name, command string, env ...string) *Proc {
	for _, word := range strings.FieldsFunc(command+" "+strings.Join(env, " "), func(c rune) bool { return c == ' ' || c == '=' }) {
		r.Release(word)
		if strings.HasPrefix(word, r.Dir) { // a configuration
			text, _ := os.ReadFile(word)
			r.Release(string(text))
		}
	}
	out, err := os.Create(filepath.Join(r.Dir, name+".log"))
	if err != nil {
		r.Cannot("%v", err)
	}
	defer out.Close()
	p := &Proc{Name: name, done: make(chan struct{})}
	p.cmd = exec.Command("/bin/sh", "-c", command)
	p.cmd.Dir, p.cmd.Stdout, p.cmd.Stderr = r.root, out, out
	p.cmd.Env = append(os.Environ(), "TMPDIR="+r.Dir)
	p.cmd.Env = append(p.cmd.Env, env...)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		r.Cannot("start %s: %v", name, err)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	r.mu.Lock()
	r.procs = append(r.procs, p)
	r.mu.Unlock()
	r.Logf("start %s: %s (pid %d)", name, command, p.cmd.Process.Pid)
	return p
}

// Kill kills the process and waits for its end.
func (p *Proc) Kill() {
	p.cmd.Process.Kill()
	<-p.done
}

// Signal sends a signal.
func (p *Proc) Signal(s syscall.Signal) { p.cmd.Process.Signal(s) }

// Ended reports whether the process has ended.
func (p *Proc) Ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Done is closed at the process's end.
func (p *Proc) Done() <-chan struct{} { return p.done }

// ExitStatus returns the exit status of an ended process.
func (p *Proc) ExitStatus() int { return p.cmd.ProcessState.ExitCode() }

// Log returns the process's output.
func (r *Rig) Log(p *Proc) string {
	b, _ := os.ReadFile(filepath.Join(r.Dir, p.Name+".log"))
	return string(b)
}

// Await polls until a condition holds; a run in which it never does cannot take place.
func (r *Rig) Await(what string, timeout time.Duration, holds func() bool) {
	for deadline := time.Now().Add(timeout); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			r.Cannot("not within %v: %s", timeout, what)
		}
	}
}
