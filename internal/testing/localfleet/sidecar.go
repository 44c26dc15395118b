package localfleet

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"barleywick/internal/testing/loadgen"
)

// member is one real sidecar process, and its client.
type member struct {
	lab    *lab
	index  int
	addr   string
	config string
	client *loadgen.Client
	log    *os.File

	cmd   *exec.Cmd
	ended chan error // takes the process's end
	up    bool       // guarded by lab.mu; a client goes and comes with its sidecar
}

const (
	readyIn = 15 * time.Second
	// pollEvery is how often a sidecar is asked whether it is ready.
	pollEvery = 20 * time.Millisecond
	// endIn is the longest time from SIGTERM on that a sidecar may need for its answers.
	endIn = 10 * time.Second

	sockets  = 1024
	memoryMB = 192
)

// prepare picks an address and writes the configuration.
func (s *member) prepare(discovery []string) error {
	addr, err := freeAddr()
	if err != nil {
		return err
	}
	s.addr = addr
	text, err := json.MarshalIndent(map[string]any{
		"name": fmt.Sprintf("n%d", s.index), "listen": addr, "discovery": discovery[0], "discovery_replicas": discovery[1:], "seed": fmt.Sprintf("%x", s.lab.seed+uint64(s.index)+1),
		"limits":   map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": sockets},
		"settings": s.lab.sc.Settings(s.index),
	}, "", " ")
	if err != nil {
		return err
	}
	s.config = filepath.Join(s.lab.folder, fmt.Sprintf("n%d.json", s.index))
	if err := os.WriteFile(s.config, text, 0o600); err != nil {
		return fmt.Errorf("configuration of sidecar %d: %w", s.index, err)
	}
	s.client = loadgen.NewClient(addr, sockets/4)
	return nil
}

// start starts the process and waits until it is ready.
func (s *member) start(ctx context.Context) error {
	s.cmd = exec.Command(s.lab.program)
	s.cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+s.config)
	s.cmd.Stdout, s.cmd.Stderr = s.log, s.log
	s.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true} // it never outlives the lab, and Ctrl-C is the lab's to pass on
	if err := s.cmd.Start(); err != nil {
		return fmt.Errorf("sidecar %d: %w", s.index, err)
	}
	s.ended = make(chan error, 1)
	cmd, ended := s.cmd, s.ended
	s.lab.tasks.Go(func() { ended <- cmd.Wait() })
	ctx, cancel := context.WithTimeout(ctx, readyIn)
	defer cancel()
	for {
		if s.ready(ctx) {
			return nil
		}
		select {
		case err := <-s.ended:
			s.ended <- err
			return fmt.Errorf("sidecar %d ended before it was ready (%v); its log: %s", s.index, err, s.lastLine())
		case <-ctx.Done():
			return fmt.Errorf("sidecar %d is not ready: %w", s.index, ctx.Err())
		case <-time.After(pollEvery):
		}
	}
}

func (s *member) ready(ctx context.Context) bool {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.addr+"/health/ready", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(q)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 1<<10))
	return resp.StatusCode == http.StatusOK
}

// lastLine is the end of the process's log.
func (s *member) lastLine() string {
	text, err := os.ReadFile(s.log.Name())
	if err != nil {
		return err.Error()
	}
	lines := bytes.Split(bytes.TrimSpace(text), []byte("\n"))
	return string(lines[len(lines)-1])
}

// kill ends the process outright and waits for its end.
func (s *member) kill() {
	if s.ended == nil {
		return
	}
	_ = s.cmd.Process.Kill() // it may have ended by itself
	<-s.ended
	s.ended = nil
}

// killed is kill, as restart wants it.
func (s *member) killed() error {
	s.kill()
	return nil
}

// stop ends the process by SIGTERM.
func (s *member) stop() error {
	if s.ended == nil {
		return nil
	}
	if err := s.cmd.Process.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("sidecar %d: %w", s.index, err)
	}
	select {
	case err := <-s.ended:
		s.ended = nil
		if err != nil {
			return fmt.Errorf("sidecar %d ended with %w; its log: %s", s.index, err, s.lastLine())
		}
		return nil
	case <-time.After(endIn):
		s.kill()
		return fmt.Errorf("sidecar %d did not end within %v of SIGTERM", s.index, endIn)
	}
}
