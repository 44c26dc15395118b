package upstream

import (
	"context"
	"net/http"
	"net/url"

	"barleywick/internal/settings"
	"barleywick/policy"
)

// maxLoadReport is how much of a probe's response body is parsed.
const maxLoadReport = 4 << 10

// Probe checks a server's health and reads its load report. It fails if there is no response within the
// pool's dial timeout.
func (t *Transport) Probe(ctx context.Context, server *Server) (ok bool, load policy.LoadReport) {
	ctx, cancel := context.WithTimeout(ctx, t.pool.dialTimeout)
	defer cancel()
	if t.gate.MayStart(t.pool.dialTimeout) != policy.Allowed {
		return false, policy.UnknownLoad
	}
	c, err := t.pool.Acquire(ctx, server)
	if err != nil {
		return false, policy.UnknownLoad
	}
	req := &http.Request{
		Method: http.MethodGet, URL: &url.URL{Path: t.probePath}, Host: server.addr,
		Header: http.Header{"User-Agent": {""}},
	}
	x, err := t.exchange(ctx, sendPermit{requestID: "probe", writeCtx: ctx}, c, req)
	x.hold.release()
	if ctx.Err() != nil && x.written() {
		t.pool.handleUnresponsive(server, x.writtenAt)
	}
	if err != nil || x.resp.StatusCode != http.StatusOK {
		return false, policy.UnknownLoad
	}
	report := x.resp.Header.Get("Server-Load")
	if report == "" {
		report = string(x.body[:min(len(x.body), maxLoadReport)])
	}
	return true, t.parseLoad(report)
}

// parseLoad parses a load report of the form 'TEXT name=value, name=value'. Fields that are missing or
// not numbers are unknown.
func (t *Transport) parseLoad(report string) policy.LoadReport {
	values := settings.ParseLoadReport(report, t.loadFields...)
	return t.loadFields.LoadReport(func(column int) (float64, bool) {
		v, ok := values[t.loadFields[column]]
		return v, ok
	})
}
