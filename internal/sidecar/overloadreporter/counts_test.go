package overloadreporter

import (
	"reflect"
	"testing"

	"barleywick/internal/overload"
	"barleywick/internal/sidecar/outcome"
)

func TestTakeResetsCounts(t *testing.T) {
	c := NewCounts([]string{"acme", "zeta"}, func(tenant int) (float64, bool) { return 0.25, tenant == 0 })
	for _, o := range []outcome.Outcome{outcome.InTime, outcome.Late, outcome.Refused, outcome.Failed, outcome.ClientDisconnected} {
		c.RequestArrived(0)
		c.RequestEnded(0, o)
	}
	c.RequestArrived(1)
	want := []overload.TenantCounts{
		{Tenant: "acme", Quota: 0.25, Requests: 5, InTime: 1, Late: 1, Refused: 1, Failed: 1},
		{Tenant: "zeta", Quota: 1, Requests: 1},
	}
	if got := c.Take(); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	want = []overload.TenantCounts{{Tenant: "acme", Quota: 0.25}, {Tenant: "zeta", Quota: 1}}
	if got := c.Take(); !reflect.DeepEqual(got, want) {
		t.Errorf("second call: got %+v, want %+v", got, want)
	}
}
