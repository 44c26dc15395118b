//go:build review

package rig

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	mathrand "math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Request is one request of a client, with its answer.
type Request struct {
	ID, Class, Tenant string
	Sidecar           string
	Sent, Answered    time.Time
	Status            int    // 0: no answer
	Body              string // of the answer
	Err               string
}

// Clients are the clients of one sidecar.
type Clients struct {
	rig     *Rig
	Sidecar string
	Listen  string
	http    *http.Client
	stop    chan struct{}
	running sync.WaitGroup
	Done    func(q *Request) // called with each request when it has its answer or has failed
	Sending func(q *Request) // called before each request is sent
}

// NewClients returns the clients of a sidecar.
func (r *Rig) NewClients(sidecar, listen string) *Clients {
	return &Clients{
		rig: r, Sidecar: sidecar, Listen: listen, stop: make(chan struct{}),
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}},
	}
}

// Run sends requests of a class and a tenant until Stop, at random times that are an interval apart in the mean.
func (c *Clients) Run(class, tenant string, timeout, interval time.Duration) {
	c.running.Go(func() {
		for {
			select {
			case <-c.stop:
				return
			case <-time.After(time.Duration(mathrand.ExpFloat64() * float64(interval))):
				c.running.Go(func() { c.Send(class, tenant, timeout) })
			}
		}
	})
}

// Stop ends the clients and waits for their answers.
func (c *Clients) Stop() {
	close(c.stop)
	c.running.Wait()
}

// NewID returns a request id.
func NewID() string {
	b := make([]byte, 8)
	rand.Read(b)
	return hex.EncodeToString(b)
}

// Send sends one request and waits for its answer.
func (c *Clients) Send(class, tenant string, timeout time.Duration) *Request {
	q := &Request{ID: NewID(), Class: class, Tenant: tenant, Sidecar: c.Sidecar}
	body := []byte(`{"booking":"` + q.ID + `"}`)
	req, _ := http.NewRequest("POST", "http://"+c.Listen+"/api", bytes.NewReader(body))
	req.GetBody = nil
	req.Header = http.Header{
		"Request-Id": {q.ID}, "Request-Class": {class}, "Tenant": {tenant},
		"Request-Timeout": {fmt.Sprintf("%.3f", timeout.Seconds())}, "User-Agent": {"client"},
	}
	if class == "hold-slot" {
		req.Header["Idempotency-Key"] = []string{NewID() + NewID()}
	}
	q.Sent = time.Now()
	if c.Sending != nil {
		c.Sending(q)
	}
	client := *c.http
	client.Timeout = timeout + time.Second
	resp, err := client.Do(req)
	if err == nil {
		var b []byte
		b, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		q.Status, q.Body = resp.StatusCode, string(b)
	}
	if err != nil {
		q.Err = err.Error()
	}
	q.Answered = time.Now()
	if c.Done != nil {
		c.Done(q)
	}
	return q
}
