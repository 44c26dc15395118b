//go:build review

package main

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"syscall"
	"time"
)

func init() { cases["stale"] = staleCase }

// staleCase: a sidecar is killed, a policy is put in force, and the sidecar starts again while the registry is down.
func staleCase(h *harness) bool {
	f := h.startPolicyFleet("host-1")
	registry, n1 := f.g.addrs[0], f.sidecars[0]
	if _, status := f.fleetctl("first", registry, "policy", "propose", h.file("old.toml", oldPolicy), "--reason", "the first", "--wait"); status != 0 {
		h.fail("the first policy was not put in force")
	}
	if h.trouble {
		n1.signal(syscall.SIGKILL)
		<-n1.done
		h.note("disruption: n1 was killed")
		h.eventually("the controller on its machine has taken n1 out of the roster", 20*time.Second, func() bool { return len(h.policyStatus(f.g).Roster) == 1 })
	}
	if out, status := f.fleetctl("first", registry, "policy", "propose", h.file("new.toml", newPolicy), "--reason", "one tenant only", "--wait"); status != 0 {
		h.fail("the second policy was not put in force: %s", out)
	}
	if h.trouble {
		h.setKnown(n1, registry)
		f.g.procs[0].kill()
		h.note("disruption: the registry is down")
		n1.again()
	}
	n1.awaitReady(20 * time.Second)
	served, refused := f.otherTenant()
	h.say("a tenant that the policy in force does not name is served by %d sidecars and refused by %d", served, refused)
	return served > 0 && refused > 0
}

// setKnown writes the list that a sidecar last had into its configuration, as the platform does.
func (h *harness) setKnown(s *sidecarProcess, registry string) {
	var known any
	status, err := call(context.Background(), "GET", "http://"+registry+"/registry/instances", nil, &known)
	if err != nil || status != http.StatusOK {
		h.fail("list: status %d, %v", status, err)
	}
	text, err := os.ReadFile(s.config)
	h.must(err, "configuration")
	var config map[string]any
	h.must(json.Unmarshal(text, &config), "configuration")
	config["known"] = known
	text, err = json.Marshal(config)
	h.must(err, "configuration")
	h.must(os.WriteFile(s.config, text, 0o600), "configuration")
}
