//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// harness runs one case: it starts processes, keeps the record, and ends everything at the end.
type harness struct {
	root    string // of the project
	dir     string // temporary folder of the case
	trouble bool   // the disruption takes place
	began   time.Time

	mu      sync.Mutex
	record  *os.File
	procs   []*process
	closers []func()
}

// notRun is panicked with when a case cannot run.
type notRun struct{ reason string }

func newHarness(root, recordPath string) (*harness, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	return &harness{root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: record}, nil
}

// note writes a line to the record, with the time since the start of the case.
func (h *harness) note(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	fmt.Fprintf(h.record, "%9.3f %s\n", time.Since(h.began).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to standard output.
func (h *harness) say(format string, args ...any) {
	h.note(format, args...)
	fmt.Printf("%8.3f %s\n", time.Since(h.began).Seconds(), fmt.Sprintf(format, args...))
}

// fail ends the case as one that could not run.
func (h *harness) fail(format string, args ...any) { panic(notRun{fmt.Sprintf(format, args...)}) }

func (h *harness) must(err error, what string) {
	if err != nil {
		h.fail("%s: %v", what, err)
	}
}

// close ends all processes and removes the temporary folder.
func (h *harness) close() {
	for i := len(h.closers) - 1; i >= 0; i-- {
		h.closers[i]()
	}
	for _, p := range h.procs {
		p.kill()
	}
	for _, p := range h.procs {
		h.note("--- end of the log of %s", p.name)
		for _, line := range p.logTail(25) {
			h.note("%s: %s", p.name, line)
		}
	}
	h.record.Close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(h.dir)
	}
}

func (h *harness) onClose(f func()) { h.closers = append(h.closers, f) }

// file writes a file into the temporary folder and returns its path.
func (h *harness) file(name string, content any) string {
	text, ok := content.(string)
	if !ok {
		encoded, err := json.Marshal(content)
		h.must(err, name)
		text = string(encoded)
	}
	path := filepath.Join(h.dir, name)
	h.must(os.WriteFile(path, []byte(text), 0o600), name)
	return path
}

// folder makes a folder in the temporary folder.
func (h *harness) folder(name string) string {
	path := filepath.Join(h.dir, name)
	h.must(os.MkdirAll(path, 0o700), name)
	return path
}

// freeAddr returns a loopback address on which nothing listens.
func (h *harness) freeAddr() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	h.must(err, "free address")
	defer ln.Close()
	return ln.Addr().String()
}

// process is a program of the project that the case has started.
type process struct {
	name    string
	cmd     *exec.Cmd
	logPath string
	done    chan struct{}
}

// start starts a program; environment variables are added to args' environment. The command line goes to /bin/sh, as in
// the deploy file.
func (h *harness) start(name, commandLine string, env ...string) *process {
	logPath := filepath.Join(h.dir, name+"-"+fmt.Sprint(len(h.procs))+".log")
	log, err := os.Create(logPath)
	h.must(err, "log")
	cmd := exec.Command("/bin/sh", "-c", commandLine)
	cmd.Dir, cmd.Stdout, cmd.Stderr = h.root, log, log
	cmd.Env = append(os.Environ(), env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	h.must(cmd.Start(), "start "+name)
	log.Close()
	p := &process{name: name, cmd: cmd, logPath: logPath, done: make(chan struct{})}
	go func() {
		cmd.Wait()
		close(p.done)
	}()
	h.mu.Lock()
	h.procs = append(h.procs, p)
	h.mu.Unlock()
	h.note("started %s (pid %d): %s", name, cmd.Process.Pid, commandLine)
	return p
}

func (p *process) signal(s syscall.Signal) { p.cmd.Process.Signal(s) }

// kill kills the process and its group, and waits for the end.
func (p *process) kill() {
	syscall.Kill(-p.cmd.Process.Pid, syscall.SIGKILL)
	<-p.done
}

func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

func (p *process) log() string {
	text, _ := os.ReadFile(p.logPath)
	return string(text)
}

func (p *process) logTail(n int) []string {
	lines := strings.Split(strings.TrimSpace(p.log()), "\n")
	return lines[max(0, len(lines)-n):]
}

// deployCommand returns the value of a key of deploy/balancer.toml.
func (h *harness) deployCommand(key string) string {
	text, err := os.ReadFile(filepath.Join(h.root, "deploy/balancer.toml"))
	h.must(err, "deploy file")
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, key+" = \""); ok {
			return strings.TrimSuffix(strings.TrimSpace(value), "\"")
		}
	}
	h.fail("deploy file has no %s", key)
	return ""
}

// eventually waits until a condition holds, for at most d.
func (h *harness) eventually(what string, d time.Duration, holds func() bool) {
	if !h.await(d, holds) {
		h.fail("timed out waiting until %s", what)
	}
}

func (h *harness) await(d time.Duration, holds func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return holds()
}

var callClient = &http.Client{
	Timeout:   20 * time.Second,
	Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true},
}

// call makes an HTTP call to the registry and decodes a JSON response.
func call(ctx context.Context, method, url string, body, into any) (status int, err error) {
	var reader io.Reader
	if raw, ok := body.([]byte); ok {
		reader = bytes.NewReader(raw)
	} else if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return 0, err
		}
		reader = bytes.NewReader(text)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, reader)
	if err != nil {
		return 0, err
	}
	resp, err := callClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return resp.StatusCode, err
	}
	if raw, ok := into.(*[]byte); ok {
		*raw = text
	} else if into != nil && len(text) > 0 {
		if err := json.Unmarshal(text, into); err != nil && resp.StatusCode == http.StatusOK {
			return resp.StatusCode, err
		}
	}
	return resp.StatusCode, nil
}

func ready(addr string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	status, err := call(ctx, "GET", "http://"+addr+"/health/ready", nil, nil)
	return err == nil && status == http.StatusOK
}

// output runs a program to its end and returns its output and exit status.
func (h *harness) output(timeout time.Duration, env []string, args ...string) (text string, status int) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, args[0], args[1:]...)
	cmd.Dir = h.root
	cmd.Env = append(os.Environ(), env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := cmd.CombinedOutput()
	var exit *exec.ExitError
	switch {
	case errors.As(err, &exit):
		status = exit.ExitCode()
	case err != nil:
		status = -1
	}
	h.note("%s: exit status %d, output: %s", strings.Join(args, " "), status, strings.TrimSpace(string(out)))
	return string(out), status
}
