package overloadreporter

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"barleywick/internal/overload"
	"barleywick/internal/registry/client"
	"barleywick/internal/sidecar/config"
	"barleywick/policy"
)

// adviceCallIn is for one digest and its answer: the next is due a little later.
const adviceCallIn = 800 * time.Millisecond

// Reporter tells the fleet's task once a second what came to this sidecar, and puts its
// word in force. Whatever fails, the sidecar goes on by what it sees itself: the word
// that it has fades.
type Reporter struct {
	config  *config.Overload
	name    string
	began   time.Time
	tenants []string // of tenants
	sidecar Sidecar
	client  *client.Client
	http    *http.Client
	address string // where the task listens; empty: not known
	seq     uint64
	taker   overload.AdviceFilter

	mu         sync.Mutex
	advice     overload.Advice
	receivedAt time.Time // when it was taken
	lastError  error     // the last exchange; nil: it went well
}

// Sidecar is what the reporter needs of the sidecar that it reports for.
type Sidecar interface {
	// OverloadDigest returns the congestion and what was counted since the last call. It fails
	// if the sidecar or ctx ends.
	OverloadDigest(ctx context.Context) (overload.Digest, error)
	// ApplyAdvice puts advice into force.
	ApplyAdvice(policy.OverloadAdvice)
}

// New makes the reporter of a sidecar whose configuration names where overload advice comes from.
func New(c *config.Config, tenants []string, s Sidecar) (*Reporter, error) {
	r, err := client.New(c.Overload.Registry, c.Seed)
	if err != nil {
		return nil, err
	}
	a := &Reporter{config: c.Overload, name: c.Name, began: time.Now(), tenants: tenants, sidecar: s, client: r.WithAddressMap(c.Overload.AddressMap).WithTimeout(adviceCallIn), taker: overload.AdviceFilter{Fleet: c.Overload.Fleet}}
	a.http = &http.Client{Timeout: adviceCallIn, Transport: &http.Transport{DialContext: c.Overload.AddressMap.Dialer(adviceCallIn), MaxConnsPerHost: 1, DisableCompression: true}}
	return a, nil
}

// Run exchanges digests for words until ctx ends.
func (a *Reporter) Run(ctx context.Context) {
	defer a.client.Close()
	defer a.http.CloseIdleConnections()
	last := a.began
	for {
		select { // spread: the task must not hear of all at once
		case <-time.After(time.Duration(float64(overload.ReportInterval) * (0.9 + 0.2*rand.Float64()))):
		case <-ctx.Done():
			return
		}
		d, err := a.sidecar.OverloadDigest(ctx)
		if err != nil {
			return
		}
		now := time.Now()
		a.seq++
		d.Fleet, d.Name, d.Incarnation, d.Seq, d.PeriodMS = a.config.Fleet, a.name, uint64(a.began.UnixMicro()), a.seq, max(1, now.Sub(last).Milliseconds())
		last = now
		err = a.exchange(ctx, d)
		a.mu.Lock()
		was := a.lastError
		a.lastError = err
		a.mu.Unlock()
		switch {
		case ctx.Err() != nil:
			return
		case err != nil && was == nil:
			slog.Warn("overload: no word from the fleet: this sidecar goes on by what it sees itself", "err", err)
		case err == nil && was != nil:
			slog.Info("overload: the fleet's word is heard again")
		}
	}
}

// exchange tells a digest, and takes the word that it is answered with.
func (a *Reporter) exchange(ctx context.Context, d overload.Digest) error {
	if a.address == "" {
		r, err := a.client.Record(ctx, overload.RecordKey)
		if err != nil {
			return fmt.Errorf("where the task listens: %w", err)
		}
		var place overload.Location
		if err := json.Unmarshal(r.Value, &place); err != nil {
			return fmt.Errorf("where the task listens: %w", err)
		}
		if host, _, err := net.SplitHostPort(place.Address); err != nil || !net.ParseIP(host).IsLoopback() {
			return fmt.Errorf("where the task listens: %.64q is no loopback address with a port", place.Address)
		}
		a.address = place.Address
	}
	word, err := a.post(ctx, d)
	if err != nil {
		a.address = "" // another may hold it by now
		return err
	}
	if err := a.taker.Accept(word); err != nil {
		return err
	}
	parts := make([]float64, len(a.tenants))
	for i, name := range a.tenants {
		parts[i] = word.FractionFor(name)
	}
	a.mu.Lock()
	a.advice, a.receivedAt = word, time.Now()
	a.mu.Unlock()
	a.sidecar.ApplyAdvice(policy.OverloadAdvice{AdmittedShares: parts, ValidFor: time.Duration(word.ValidMS) * time.Millisecond})
	return nil
}

func (a *Reporter) post(ctx context.Context, d overload.Digest) (word overload.Advice, err error) {
	text, err := json.Marshal(d)
	if err != nil {
		return word, fmt.Errorf("write digest: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.address+overload.Path, bytes.NewReader(text))
	if err != nil {
		return word, err
	}
	resp, err := a.http.Do(req)
	if err != nil {
		return word, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, overload.MaxMessageBytes))
	switch {
	case err != nil:
		return word, err
	case resp.StatusCode != http.StatusOK:
		return word, fmt.Errorf("%s answers %d: %.200s", a.address, resp.StatusCode, bytes.TrimSpace(answer))
	}
	if err := json.Unmarshal(answer, &word); err != nil {
		return word, fmt.Errorf("%s: %w", a.address, err)
	}
	return word, nil
}

// Status tells how a sidecar stands towards the fleet's word on an overload.
type Status struct {
	Advice    overload.Advice
	Age       time.Duration // of it; 0: none came yet
	LastError error         // why the last exchange failed
}

// InForce says whether the word is in force.
func (w Status) InForce() bool { return w.Age > 0 && w.Age < overload.AdviceTTL }

func (a *Reporter) Status() Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	w := Status{Advice: a.advice, LastError: a.lastError}
	if !a.receivedAt.IsZero() {
		w.Age = max(1, time.Since(a.receivedAt))
	}
	return w
}

// String is a line for people.
func (w Status) String() string {
	text := "no word yet"
	if w.Age > 0 {
		text = fmt.Sprintf("word %d under token %d, %.1f s ago", w.Advice.Number, w.Advice.Token, w.Age.Seconds())
		if !w.InForce() {
			text += ", it counts no more"
		}
		for _, p := range w.Advice.Tenants {
			if p.AdmitFraction < 1 {
				text += fmt.Sprintf(", %s %.3f", p.Tenant, p.AdmitFraction)
			}
		}
	}
	if w.LastError != nil {
		text += "; " + w.LastError.Error()
	}
	return text
}
