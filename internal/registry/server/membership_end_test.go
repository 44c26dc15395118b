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

// membershipBound is how long the step `membership` of an end may take, by docs/SHUTDOWN.md.
const membershipBound = 4 * time.Second

var membershipStep = regexp.MustCompile(`step=membership took=(\S+)`)

// checkMembershipStep checks how long the step took in the end of a replica.
func (r *gatedReplica) checkMembershipStep() {
	r.t.Helper()
	found := membershipStep.FindStringSubmatch(r.log.String())
	if found == nil {
		r.t.Error("the step membership did not end")
		return
	}
	took, err := time.ParseDuration(found[1])
	r.t.Logf("the step membership took %v; %s", took, strings.Join(regexp.MustCompile(`members: membership ended.*`).FindAllString(r.log.String(), -1), ""))
	if err != nil || took > membershipBound {
		r.t.Errorf("the step membership took %v (%v), want %v at most", found[1], err, membershipBound)
	}
}

// savesMembers holds the syncs of the members' cache.
func savesMembers(c diskgate.Call) bool { return c.IsSync() && strings.Contains(c.Path, "members-") }

// A replica ends in time though the file of the members' cache cannot be synced: neither at the end
// nor in a save that is under way as the end begins.
func TestEndWhileTheMembersCacheIsSaved(t *testing.T) {
	for _, when := range []string{"at the end", "before the end"} {
		t.Run(when, func(t *testing.T) {
			t.Parallel()
			m, config := replicaWithMembership(t)
			r := startGated(t, config, savesMembers)
			awaitReady(t, m)
			if when == "before the end" {
				t.Logf("the disk hangs at %v", r.awaitHeld())
			}
			told := time.Now()
			r.sendTerm()
			r.endsInTime(told)
			r.checkMembershipStep()
		})
	}
}

// silentAddress is where connections are accepted and nothing is answered. The channel receives
// each of them.
func silentAddress(t *testing.T) (string, <-chan net.Conn) {
	t.Helper()
	listener := listen(t, "127.0.0.1:0")
	accepted := make(chan net.Conn, 64)
	t.Cleanup(func() { listener.Close() })
	go func() { // ends with the listener
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

// A replica that is told to end while it calls members that do not answer ends in time.
func TestEndWhileNoMemberAnswers(t *testing.T) {
	m := newMembers(t, "r0")[0]
	gossip := newMembers(t, "gossip")[0]
	var seeds []string
	called := make(chan struct{}, 64)
	for range 8 {
		address, accepted := silentAddress(t)
		seeds = append(seeds, address)
		go func() { // ends with the test's process
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
	told := time.Now()
	r.sendTerm()
	r.endsInTime(told)
	r.checkMembershipStep()
}

// startFleet starts a group of replicas that are members of one fleet, and waits until each sees
// all.
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
		eventually(t, "each sees all members", func() bool {
			_, _, text := get(t, "http://"+m.HTTP+registry.APIPath+membership.ViewPath)
			return strings.Count(text, `"present"`) >= n
		})
	}
	return members, replicas
}

// Replicas that end at the same moment end in time: each one's farewell waits for members that take
// none any more, and those that remain may be paused.
func TestEndWithAllMembers(t *testing.T) {
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
			told := time.Now()
			for _, r := range ending {
				r.sendTerm()
			}
			for _, r := range ending {
				r.endsInTime(told)
				r.checkMembershipStep()
			}
		})
	}
}
