package remoteadapter

import (
	"context"
	"encoding/json"
	"io"
	"strings"
	"testing"
	"time"

	"barleywick/internal/simulation/emulator"
	"barleywick/internal/simulation/simadapter"
	"barleywick/internal/simulation/simwire"
)

// scenario returns a scenario shortened to 10 s.
func scenario(t *testing.T, name string) *emulator.Scenario {
	t.Helper()
	sc, err := emulator.Preset(name, 8, 10)
	if err != nil {
		t.Fatal(err)
	}
	sc.Stretch(10 * time.Second)
	return sc
}

// run runs a scenario and returns its record as JSON.
func run(t *testing.T, sc *emulator.Scenario, decide emulator.DeciderFactory) string {
	t.Helper()
	s, err := emulator.NewSim(sc, 5, decide)
	if err != nil {
		t.Fatal(err)
	}
	r, err := s.Run(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if len(r.ViolationTexts) > 0 || r.ServedRequests == 0 {
		t.Errorf("want no violations and some requests served, got %s", r.Line())
	}
	text, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// startServer runs serve in a goroutine and returns an Adapter that is connected to it by two pipes.
func startServer(t *testing.T, serve func(io.Reader, io.Writer) error) *Adapter {
	t.Helper()
	events, toAdapter := io.Pipe()
	fromAdapter, actions := io.Pipe()
	served := make(chan error, 1)
	go func() {
		err := serve(events, actions)
		actions.CloseWithError(io.EOF)
		events.CloseWithError(io.ErrClosedPipe)
		served <- err
	}()
	a := New(toAdapter, fromAdapter)
	t.Cleanup(func() {
		toAdapter.Close()
		if err := <-served; err != nil {
			t.Errorf("serve returned %v, want no error", err)
		}
	})
	return a
}

// A run over the wire has exactly the same record as a run in this process. Otherwise a comparison of two
// builds would measure the protocol as well as their decisions.
func TestWireDoesNotChangeDecisions(t *testing.T) {
	for _, name := range []string{"herd", "join", "split", "blind", "overload"} {
		t.Run(name, func(t *testing.T) {
			a := startServer(t, simadapter.Serve)
			remote := run(t, scenario(t, name), a.NewDecider)
			if a.Err() != nil {
				t.Fatal(a.Err())
			}
			if local := run(t, scenario(t, name), emulator.NewBalancer); local != remote {
				t.Error("the record over the wire differs from the local one")
			}
		})
	}
}

func TestAdapterErrorsAreReported(t *testing.T) {
	replyWith := func(offset uint32, write func(*simwire.ReplyWriter)) func(io.Reader, io.Writer) error {
		return func(in io.Reader, out io.Writer) error {
			r := simwire.NewReader(in)
			var p simwire.ReplyWriter
			for {
				b, err := r.ReadBatch()
				if err != nil {
					return nil
				}
				p.Begin(b.Number + offset)
				write(&p)
				if _, err := out.Write(p.Bytes()); err != nil {
					return err
				}
			}
		}
	}
	for want, serve := range map[string]func(io.Reader, io.Writer) error{
		"closed its output before replying": func(in io.Reader, _ io.Writer) error {
			_, err := simwire.NewReader(in).ReadBatch()
			return err
		},
		"has batch number":  replyWith(1, func(*simwire.ReplyWriter) {}),
		"has failed: oops":  replyWith(0, func(p *simwire.ReplyWriter) { p.Die(0, "oops") }),
		"instance 77":       replyWith(0, func(p *simwire.ReplyWriter) { p.Tail(77, true) }),
		"unknown request 9": replyWith(0, func(p *simwire.ReplyWriter) { p.CallOut(0, 9, 1, 0) }),
		"invalid header: 4294967295 records in 4294967295 bytes": func(in io.Reader, out io.Writer) error {
			if _, err := simwire.NewReader(in).ReadBatch(); err != nil {
				return err
			}
			_, err := out.Write([]byte(strings.Repeat("\xff", 12)))
			return err
		},
	} {
		a := startServer(t, serve)
		s, err := emulator.NewSim(scenario(t, "calm"), 1, a.NewDecider)
		if err != nil {
			t.Fatal(err)
		}
		_, runErr := s.Run(context.Background())
		if a.Err() == nil || !strings.Contains(a.Err().Error(), want) {
			t.Errorf("got error %v, want one with %q; the run returned %v", a.Err(), want, runErr)
		}
	}
}

func TestSlotsAreRejected(t *testing.T) {
	sc := scenario(t, "calm")
	sc.Slots = 5
	s, err := emulator.NewSim(sc, 1, New(io.Discard, strings.NewReader("")).NewDecider)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Run(context.Background()); err == nil || !strings.Contains(err.Error(), "slots cannot be sent") {
		t.Errorf("got error %v, want one that names the slots", err)
	}
}

func TestProgramThatIsNotAnAdapter(t *testing.T) {
	if _, err := Start(t.Context(), "/nonexistent/adapter"); err == nil || !strings.Contains(err.Error(), "/nonexistent/adapter") {
		t.Errorf("got error %v, want one that names the program", err)
	}
	a, err := Start(t.Context(), "/bin/false")
	if err != nil {
		t.Fatal(err)
	}
	s, err := emulator.NewSim(scenario(t, "calm"), 1, a.NewDecider)
	if err != nil {
		t.Fatal(err)
	}
	_, runErr := s.Run(context.Background())
	if err := a.Close(); err == nil || !strings.Contains(err.Error(), "adapter: ") {
		t.Errorf("got error %v, want one of the adapter; the run returned %v", err, runErr)
	}
}
