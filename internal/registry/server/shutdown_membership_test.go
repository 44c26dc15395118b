package server

import (
	"fmt"
	"net"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"barleywick/internal/membership"
	"barleywick/internal/registry"
	"barleywick/internal/testing/diskgate"
)

// membershipStepTimeout bounds the step `membership` of a shutdown, by docs/SHUTDOWN.md.
const membershipStepTimeout = 4 * time.Second

var membershipStep = regexp.MustCompile(`step=membership took=(\S+)`)

// checkMembershipStep checks the logged duration of the membership step in a replica's shutdown.
func (r *gatedReplica) checkMembershipStep() {
	r.t.Helper()
	found := membershipStep.FindStringSubmatch(r.log.String())
	if found == nil {
		r.t.Error("the log has no end of the step membership")
		return
	}
	took, err := time.ParseDuration(found[1])
	r.t.Logf("membership step took %v; %s", took, strings.Join(regexp.MustCompile(`members: membership ended.*`).FindAllString(r.log.String(), -1), ""))
	if err != nil || took > membershipStepTimeout {
		r.t.Errorf("membership step took %v (%v), want %v at most", found[1], err, membershipStepTimeout)
	}
}

// isCacheSync reports whether a disk call syncs the member cache.
func isCacheSync(c diskgate.Call) bool { return c.IsSync() && strings.Contains(c.Path, "members-") }

// A replica shuts down within the bound while the sync of the member cache hangs: in the save during
// shutdown, or in a save that was in progress when shutdown began.
func TestShutdownWhileMemberCacheSyncHangs(t *testing.T) {
	for _, when := range []string{"at the end", "before the end"} {
		t.Run(when, func(t *testing.T) {
			t.Parallel()
			m, config := configWithMembership(t)
			r := startGated(t, config, isCacheSync)
			awaitReady(t, m)
			if when == "before the end" {
				t.Logf("the disk hangs at %v", r.awaitHeld())
			}
			signaledAt := time.Now()
			r.sendTerm()
			r.checkShutdown(signaledAt)
			r.checkMembershipStep()
		})
	}
}

// silentAddress returns an address that accepts connections and never answers. The channel
// receives each connection.
func silentAddress(t *testing.T) (string, <-chan net.Conn) {
	t.Helper()
	listener := listen(t, "127.0.0.1:0")
	accepted := make(chan net.Conn, 64)
	t.Cleanup(func() { listener.Close() })
	go func() { // returns when the listener is closed
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- connection
		}
	}()
	return listener.Addr().String(), accepted
}

// A replica shuts down within the bound while it calls members that do not answer.
func TestShutdownWhileNoMemberAnswers(t *testing.T) {
	m := newMembers(t, "r0")[0]
	gossip := newMembers(t, "gossip")[0]
	var seeds []string
	called := make(chan struct{}, 64)
	for range 8 {
		address, accepted := silentAddress(t)
		seeds = append(seeds, address)
		go func() { // runs until the test process exits
			for range accepted {
				called <- struct{}{}
			}
		}()
	}
	folder := t.TempDir()
	config := writeConfig(t, singleReplica(m, filepath.Join(folder, "data"), map[string]any{
		"membership": map[string]any{"fleet": "test", "listen": gossip.HTTP, "folder": filepath.Join(folder, "members"), "seeds": seeds},
	}))
	r := startGated(t, config, nil)
	<-called
	signaledAt := time.Now()
	r.sendTerm()
	r.checkShutdown(signaledAt)
	r.checkMembershipStep()
}

// startFleet starts a group of replicas that are members of one fleet, and waits until each lists
// all members as present.
func startFleet(t *testing.T, n int) (members []registry.ReplicaInfo, replicas []*gatedReplica) {
	t.Helper()
	var ids, seeds []string
	for i := range n {
		ids = append(ids, fmt.Sprint("r", i))
	}
	members = newMembers(t, ids...)
	for _, g := range newMembers(t, ids...) {
		seeds = append(seeds, g.HTTP)
	}
	for i, m := range members {
		folder := t.TempDir()
		replicas = append(replicas, startGated(t, writeConfig(t, map[string]any{
			"group": "test", "id": m.ID, "data": filepath.Join(folder, "data"), "replicas": members, "timing": map[string]any{"election_ms": 200},
			"membership": map[string]any{"fleet": "test", "listen": seeds[i], "folder": filepath.Join(folder, "members"), "seeds": seeds},
		}), nil))
	}
	for _, m := range members {
		awaitReady(t, m)
		eventually(t, "each replica lists all members as present", func() bool {
			_, _, text := get(t, "http://"+m.HTTP+registry.APIPath+membership.ViewPath)
			return strings.Count(text, `"present"`) >= n
		})
	}
	return members, replicas
}

// A replica shuts down within the bound while no other member can receive its leave message: the
// others shut down at the same time, are paused, or have been killed.
func TestShutdownWhileOtherMembersAreUnavailable(t *testing.T) {
	for _, others := range []string{"end too", "are paused", "have been killed"} {
		t.Run(others, func(t *testing.T) {
			t.Parallel()
			_, replicas := startFleet(t, 3)
			ending := replicas
			if others != "end too" {
				ending = replicas[:1]
				for _, r := range replicas[1:] {
					if others == "are paused" {
						if err := r.command.Process.Signal(syscall.SIGSTOP); err != nil {
							t.Fatal(err)
						}
						continue
					}
					r.killAndWait()
				}
			}
			signaledAt := time.Now()
			for _, r := range ending {
				r.sendTerm()
			}
			for _, r := range ending {
				r.checkShutdown(signaledAt)
				r.checkMembershipStep()
			}
		})
	}
}
