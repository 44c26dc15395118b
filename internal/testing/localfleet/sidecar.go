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

	"barleywick/internal/testing/faultinjection"
	"barleywick/internal/testing/loadgen"
	"barleywick/internal/testing/loopback"
)

// sidecarProcess is a real sidecar process, with its client.
type sidecarProcess struct {
	owner  *localFleet
	index  int
	addr   string
	config string
	client *loadgen.Client
	log    *os.File

	cmd   *exec.Cmd
	ended chan error // receives the result of exec.Cmd.Wait
	up    bool       // guarded by the owner's mu; clients stop and start with their sidecar
}

const (
	readyTimeout = 15 * time.Second
	// pollInterval is the interval of readiness checks.
	pollInterval = 20 * time.Millisecond
	// shutdownTimeout bounds a graceful shutdown after SIGTERM.
	shutdownTimeout = 10 * time.Second

	sockets  = 1024
	memoryMB = 192
)

// prepare picks an address and writes the configuration.
func (s *sidecarProcess) prepare(discovery []string) error {
	addr, err := loopback.FreeAddr()
	if err != nil {
		return err
	}
	s.addr = addr
	text, err := json.MarshalIndent(map[string]any{
		"name": fmt.Sprintf("n%d", s.index), "listen": addr, "discovery": discovery[0], "discovery_replicas": discovery[1:], "seed": fmt.Sprintf("%x", s.owner.seed+uint64(s.index)+1),
		"limits":   map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": sockets},
		"settings": s.owner.scenario.Settings(s.index),
	}, "", " ")
	if err != nil {
		return err
	}
	s.config = filepath.Join(s.owner.dir, fmt.Sprintf("n%d.json", s.index))
	if err := os.WriteFile(s.config, text, 0o600); err != nil {
		return fmt.Errorf("configuration of sidecar %d: %w", s.index, err)
	}
	s.client = loadgen.NewClient(addr, sockets/4)
	return nil
}

// start starts the process and waits until it is ready.
func (s *sidecarProcess) start(ctx context.Context) error {
	s.cmd = exec.Command(s.owner.program)
	s.cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+s.config)
	s.cmd.Stdout, s.cmd.Stderr = s.log, s.log
	s.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true} // it is killed when this process ends; Ctrl-C reaches only this process
	if err := s.cmd.Start(); err != nil {
		return fmt.Errorf("sidecar %d: %w", s.index, err)
	}
	s.ended = make(chan error, 1)
	cmd, ended := s.cmd, s.ended
	s.owner.tasks.Go(func() { ended <- cmd.Wait() })
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		if s.ready(ctx) {
			return nil
		}
		select {
		case err := <-s.ended:
			s.ended <- err
			return fmt.Errorf("sidecar %d ended before it was ready (%w); its log: %s", s.index, err, s.lastLine())
		case <-ctx.Done():
			return fmt.Errorf("sidecar %d is not ready: %w", s.index, ctx.Err())
		case <-time.After(pollInterval):
		}
	}
}

func (s *sidecarProcess) ready(ctx context.Context) bool {
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

// lastLine returns the last line of the process's log.
func (s *sidecarProcess) lastLine() string {
	text, err := os.ReadFile(s.log.Name())
	if err != nil {
		return err.Error()
	}
	lines := bytes.Split(bytes.TrimSpace(text), []byte("\n"))
	return string(lines[len(lines)-1])
}

// checkEnd returns an error unless the process has shut down gracefully.
func (s *sidecarProcess) checkEnd(waitError error) error {
	text, err := os.ReadFile(s.log.Name())
	if err != nil {
		return errors.Join(waitError, err)
	}
	return faultinjection.CheckEnd(waitError, string(text))
}

// kill kills the process and waits for its end.
func (s *sidecarProcess) kill() {
	if s.ended == nil {
		return
	}
	_ = s.cmd.Process.Kill() // it may have ended already
	<-s.ended
	s.ended = nil
}

// killNow is kill with the signature that restartSidecars expects.
func (s *sidecarProcess) killNow() error {
	s.kill()
	return nil
}

// stop sends SIGTERM and waits for the process to end. It returns an error unless the process shuts
// down gracefully, and also if the process had already ended by itself.
func (s *sidecarProcess) stop() error {
	if s.ended == nil {
		return nil
	}
	signalError := s.cmd.Process.Signal(syscall.SIGTERM)
	if signalError != nil && !errors.Is(signalError, os.ErrProcessDone) {
		return fmt.Errorf("sidecar %d: %w", s.index, signalError)
	}
	select {
	case err := <-s.ended:
		s.ended = nil
		if err = s.checkEnd(err); err == nil && signalError != nil {
			err = errors.New("status 0 before SIGTERM")
		}
		if err != nil {
			return fmt.Errorf("sidecar %d ended with %w; its log: %s", s.index, err, s.lastLine())
		}
		return nil
	case <-time.After(shutdownTimeout):
		s.kill()
		return fmt.Errorf("sidecar %d did not end within %v of SIGTERM", s.index, shutdownTimeout)
	}
}
