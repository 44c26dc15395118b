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

func day(t *testing.T, name string) *emulator.Scenario {
	t.Helper()
	sc, err := emulator.Preset(name, 8, 10)
	if err != nil {
		t.Fatal(err)
	}
	sc.Stretch(10 * time.Second)
	return sc
}

func play(t *testing.T, sc *emulator.Scenario, decide emulator.DeciderFactory) string {
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
		t.Errorf("%s", r.Line())
	}
	text, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// beside runs an adapter in this process, at the other end of two pipes.
func beside(t *testing.T, serve func(io.Reader, io.Writer) error) *Adapter {
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
			t.Errorf("the adapter: %v", err)
		}
	})
	return a
}

// The module gives the same day to the last digit on the wire and in this process:
// what is compared between builds is their decisions and nothing else.
func TestTheWireChangesNothing(t *testing.T) {
	for _, name := range []string{"herd", "join", "split", "blind", "overload"} {
		t.Run(name, func(t *testing.T) {
			a := beside(t, simadapter.Serve)
			over := play(t, day(t, name), a.NewDecider)
			if a.Err() != nil {
				t.Fatal(a.Err())
			}
			if here := play(t, day(t, name), emulator.NewBalancer); here != over {
				t.Error("the day differs on the wire")
			}
		})
	}
}

func TestWhatAnAdapterDoesWrongIsSaid(t *testing.T) {
	reply := func(number uint32, write func(*simwire.ReplyWriter)) func(io.Reader, io.Writer) error {
		return func(in io.Reader, out io.Writer) error {
			r := simwire.NewReader(in)
			var p simwire.ReplyWriter
			for {
				b, err := r.ReadBatch()
				if err != nil {
					return nil
				}
				p.Begin(b.Number + number)
				write(&p)
				if _, err := out.Write(p.Bytes()); err != nil {
					return err
				}
			}
		}
	}
	for want, serve := range map[string]func(io.Reader, io.Writer) error{
		"it ended": func(in io.Reader, _ io.Writer) error {
			_, err := simwire.NewReader(in).ReadBatch()
			return err
		},
		"with the number":  reply(1, func(*simwire.ReplyWriter) {}),
		"has failed: oops": reply(0, func(p *simwire.ReplyWriter) { p.Die(0, "oops") }),
		"instance 77":      reply(0, func(p *simwire.ReplyWriter) { p.Tail(77, true) }),
		"not known":        reply(0, func(p *simwire.ReplyWriter) { p.CallOut(0, 9, 1, 0) }),
		"cannot be": func(in io.Reader, out io.Writer) error {
			if _, err := simwire.NewReader(in).ReadBatch(); err != nil {
				return err
			}
			_, err := out.Write([]byte(strings.Repeat("\xff", 12)))
			return err
		},
	} {
		a := beside(t, serve)
		s, err := emulator.NewSim(day(t, "calm"), 1, a.NewDecider)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := s.Run(context.Background()); err == nil {
			err = a.Err()
		}
		if a.Err() == nil || !strings.Contains(a.Err().Error(), want) {
			t.Errorf("%v, want %q", a.Err(), want)
		}
	}
}

func TestSlotsCannotBeSaid(t *testing.T) {
	sc := day(t, "calm")
	sc.Slots = 5
	s, err := emulator.NewSim(sc, 1, New(io.Discard, strings.NewReader("")).NewDecider)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Run(context.Background()); err == nil || !strings.Contains(err.Error(), "slots cannot be said") {
		t.Errorf("%v", err)
	}
}

func TestProgramThatIsNoAdapter(t *testing.T) {
	if _, err := Start(t.Context(), "/nonexistent/adapter"); err == nil || !strings.Contains(err.Error(), "/nonexistent/adapter") {
		t.Errorf("%v", err)
	}
	a, err := Start(t.Context(), "/bin/false")
	if err != nil {
		t.Fatal(err)
	}
	s, err := emulator.NewSim(day(t, "calm"), 1, a.NewDecider)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = s.Run(context.Background())
	if err := a.Close(); err == nil || !strings.Contains(err.Error(), "adapter: ") {
		t.Errorf("%v", err)
	}
}
