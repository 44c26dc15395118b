package overloadreporter

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"barleywick/internal/overload"
	"barleywick/internal/testing/fixture"
)

// The files in testdata/396a775 were written by the code of that commit, the last one before identifiers
// were renamed. The text of /health/overload is parsed by programs, so it must stay the same byte for byte.
func TestStatusTextsMatch396a775(t *testing.T) {
	advice := overload.Advice{Number: 12, Token: 7, Tenants: []overload.TenantAdvice{{Tenant: "acme", AdmitFraction: 0.25}, {Tenant: "zeta", AdmitFraction: 1}}}
	var got strings.Builder
	for _, s := range []Status{
		{},
		{LastError: errors.New("where the task listens: no")},
		{Advice: advice, Age: 1500 * time.Millisecond},
		{Advice: advice, Age: 4 * time.Second, LastError: errors.New("127.0.0.1:1 answers 503: x")},
	} {
		fmt.Fprintln(&got, s)
	}
	if want := fixture.ReadString(t, "status.txt"); got.String() != want {
		t.Errorf("got\n%s\nwant\n%s", got.String(), want)
	}
}
