package gossip

import (
	"bytes"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/memberlist"

	"barleywick/internal/membership"
	"barleywick/internal/testing/fixture"
)

// The files in testdata/396a775 were written by that version: messages between members, a view as
// served over HTTP, and the cache file for the next start.

func equalBytes(t *testing.T, name string, got []byte) {
	t.Helper()
	if want := fixture.Read(t, name); !bytes.Equal(got, want) {
		t.Errorf("%s: got %q, want %q", name, got, want)
	}
}

var discard = slog.New(slog.NewTextHandler(io.Discard, nil))

// k1 is the member that wrote the fixtures.
var k1 = membership.Info{
	Name: "k1", Incarnation: 1796175124000001, Role: membership.RoleController, Zone: "a", Version: "3.1", PolicyEpoch: 14, Phase: "draining",
	HTTPAddr: "127.0.0.1:9400", RaftAddr: "127.0.0.1:9500", ReplicaID: "r0", MachineName: "m7", MachineID: "1x2y3z", PID: 4711, ProcessStart: 99887766, LongestActMS: 250,
}

func sidecarInfo(name string, incarnation uint64) membership.Info {
	return membership.Info{Name: name, Incarnation: incarnation, Role: membership.RoleSidecar, MachineID: "1x2y3z"}
}

// newOfflineNode returns the node of k1 without a network. s1 to s6 are present in its view.
func newOfflineNode(folder string) *Node {
	n := &Node{
		options: Options{Config: membership.Config{Fleet: "prenota-nord", Listen: "127.0.0.1:9601", StateDir: folder, ForgetS: 600, ProbeMS: 500}, Self: k1},
		log:     discard, startedAt: time.Now(), self: k1, changedSignal: make(chan struct{}, 1), writeFile: replaceFile,
		addrs: map[string]string{"s1/11": "127.0.0.1:9611", "s2/12": "127.0.0.1:9612", "s3/13": "127.0.0.1:9613"}, unresponsive: make(map[string]time.Duration),
	}
	n.broadcasts = &memberlist.TransmitLimitedQueue{NumNodes: func() int { return 5 }, RetransmitMult: 4}
	n.view = membership.NewView(k1, 10*time.Minute, n.now())
	time.Sleep(1500 * time.Millisecond)
	for i, name := range []string{"s1", "s2", "s3", "s4", "s5", "s6"} {
		n.view.MarkPresent(sidecarInfo(name, uint64(11+i)), n.now())
	}
	return n
}

// assignStatuses changes the members of an offline node's view so that each status occurs.
func assignStatuses(n *Node) {
	time.Sleep(2500 * time.Millisecond)
	n.view.MarkSuspected("s2/12", n.now(), n.now()+8*time.Second)
	n.view.MarkUnreachable("s3/13", n.now())
	n.view.MarkLeft("s4/14", n.now())
	n.view.MarkEnded("s5/15", k1.Key(), n.now())
	n.view.MarkPresent(sidecarInfo("s6", 26), n.now())
	n.view.RecordDigest("s1/11", n.view.Digest(), n.now())
	n.view.RecordDigest("s6/26", 1, n.now())
	n.counters.healRounds.Store(3)
	time.Sleep(750 * time.Millisecond)
}

// Each message of the earlier version has its effect on the view, and each message that this
// version broadcasts has the same bytes.
func TestMessagesOfEarlierVersion(t *testing.T) {
	status := func(want membership.Status) func(n *Node) bool {
		return func(n *Node) bool {
			s, ok := n.Get("s1/11")
			return ok && s.Status == want
		}
	}
	for _, c := range []struct {
		file  string
		sent  message
		holds func(n *Node) bool
	}{
		{"message_bye.json", message{Kind: messageLeave, Key: "s1/11"}, status(membership.StatusLeft)},
		{"message_gone.json", message{Kind: messageEnded, Key: "s1/11", Observer: "k1/1796175124000001"}, status(membership.StatusEnded)},
		{"message_suspect.json", message{Kind: messageSuspect, Key: "s1/11", Observer: "k1/1796175124000001"}, status(membership.StatusSuspected)},
		{"message_host.json", message{Kind: messageUnresponsive, Key: "s1/11", Endpoint: "booking-7"}, func(n *Node) bool {
			endpoints := n.UnresponsiveEndpoints()
			return len(endpoints) == 1 && endpoints[0] == "booking-7"
		}},
	} {
		synctest.Test(t, func(t *testing.T) {
			n := newOfflineNode("")
			n.broadcast(c.sent)
			sent := n.broadcasts.GetBroadcasts(0, 1000)
			if len(sent) != 1 {
				t.Fatalf("%s: got %d broadcasts, want 1", c.file, len(sent))
			}
			equalBytes(t, c.file, sent[0])
			n.broadcasts.Reset()
			(&delegate{n}).NotifyMsg(fixture.Read(t, c.file))
			if !c.holds(n) {
				t.Errorf("%s has no effect: got %+v", c.file, n.Members())
			}
			if sent := n.broadcasts.GetBroadcasts(0, 1000); len(sent) != 1 || !bytes.Equal(sent[0], fixture.Read(t, c.file)) {
				t.Errorf("%s is broadcast as %q, want the same bytes", c.file, sent)
			}
		})
	}
}

// A digest message of the earlier version is evaluated, and this version's has the same bytes.
func TestDigestOfEarlierVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newOfflineNode("")
		assignStatuses(n)
		text, err := json.Marshal(message{Kind: messageDigest, Key: "s1/11", Digest: n.view.Digest()})
		if err != nil {
			t.Fatal(err)
		}
		equalBytes(t, "message_digest.json", text)
		time.Sleep(time.Second)
		since := n.now()
		(&delegate{n}).NotifyMsg(fixture.Read(t, "message_digest.json"))
		if agreeing, compared := n.view.Agreement(since); agreeing != 1 || compared != 1 {
			t.Errorf("%d of %d digests agree, want 1 of 1", agreeing, compared)
		}
	})
}

// End records in the earlier version's exchange of views are applied, and written with the same bytes.
func TestPushPullStateOfEarlierVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newOfflineNode("")
		(&delegate{n}).MergeRemoteState(fixture.Read(t, "push_pull.json"), false)
		for key, want := range map[string]membership.Status{"s3/13": membership.StatusPresent, "s4/14": membership.StatusLeft, "s5/15": membership.StatusEnded} {
			if s, _ := n.Get(key); s.Status != want {
				t.Errorf("%s: got %s, want %s", key, s.Status, want)
			}
		}
		n = newOfflineNode("")
		assignStatuses(n)
		equalBytes(t, "push_pull.json", (&delegate{n}).LocalState(false))
	})
}

// The view that the earlier version serves is read without loss, and served with the same bytes.
func TestViewOfEarlierVersion(t *testing.T) {
	served := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(fixture.Read(t, "view.json")) }))
	defer served.Close()
	got, err := membership.FetchView(t.Context(), served.Client(), served.URL)
	if err != nil {
		t.Fatal(err)
	}
	encoded, err := json.Marshal(got)
	if err != nil {
		t.Fatal(err)
	}
	equalBytes(t, "view.json", append(encoded, '\n'))
	if len(got.Members) != 8 || got.Present != 4 || got.Unreachable != 1 || got.PartitionedMS != 750 || got.HealRounds != 3 {
		t.Errorf("got %+v, want 8 members, 4 present, 1 lost for 750 ms, healed in 3 rounds", got)
	}
	synctest.Test(t, func(t *testing.T) {
		n := newOfflineNode("")
		assignStatuses(n)
		w := httptest.NewRecorder()
		n.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/fleet", nil))
		equalBytes(t, "view.json", w.Body.Bytes())
	})
}

// The earlier version's cache file is read, and written with the same name and bytes.
func TestCacheOfEarlierVersion(t *testing.T) {
	const name = "members-k1.json"
	folder := t.TempDir()
	if err := os.WriteFile(filepath.Join(folder, name), fixture.Read(t, name), 0o600); err != nil {
		t.Fatal(err)
	}
	n := newOfflineNode(folder)
	cached, err := n.loadCache()
	if err != nil || cached.Incarnation != k1.Incarnation || len(cached.Addresses) != 1 || cached.Addresses[0] != "127.0.0.1:9611" {
		t.Errorf("got cache %+v, error %v, want the incarnation of k1 and the address 127.0.0.1:9611", cached, err)
	}
	n.options.Config.StateDir = t.TempDir()
	n.addrs = map[string]string{"s1/11": "127.0.0.1:9611"}
	n.saveCache()
	text, err := os.ReadFile(filepath.Join(n.options.Config.StateDir, name))
	if err != nil {
		t.Fatal(err)
	}
	equalBytes(t, name, text)
}

// testTransport is a transport whose other end is the test.
type testTransport struct {
	sent    chan []byte
	dialed  chan net.Conn
	packets chan *memberlist.Packet
	streams chan net.Conn
}

func newTestTransport() *testTransport {
	return &testTransport{sent: make(chan []byte, 100), dialed: make(chan net.Conn, 1), packets: make(chan *memberlist.Packet), streams: make(chan net.Conn)}
}

func (w *testTransport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	return net.IPv4(127, 0, 0, 1).To4(), 9601, nil
}

func (w *testTransport) WriteTo(b []byte, to string) (time.Time, error) {
	return w.WriteToAddress(b, memberlist.Address{Addr: to})
}

func (w *testTransport) WriteToAddress(b []byte, _ memberlist.Address) (time.Time, error) {
	select {
	case w.sent <- bytes.Clone(b):
	default:
	}
	return time.Now(), nil
}

func (w *testTransport) PacketCh() <-chan *memberlist.Packet { return w.packets }
func (w *testTransport) StreamCh() <-chan net.Conn           { return w.streams }

func (w *testTransport) DialTimeout(to string, within time.Duration) (net.Conn, error) {
	return w.DialAddressTimeout(memberlist.Address{Addr: to}, within)
}

func (w *testTransport) DialAddressTimeout(memberlist.Address, time.Duration) (net.Conn, error) {
	near, far := net.Pipe()
	w.dialed <- far
	return near, nil
}

func (w *testTransport) Shutdown() error { return nil }

// startWithTestTransport starts a member whose network is the test.
func startWithTestTransport(t *testing.T, self membership.Info) (*Node, *testTransport) {
	t.Helper()
	w := newTestTransport()
	n, err := Start(Options{Config: membership.Config{Fleet: "prenota-nord", Listen: "127.0.0.1:9601"}, Self: self, Transport: w, Logger: discard})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := n.list.Load().Shutdown(); err != nil {
			t.Error(err)
		}
	})
	n.Update(func(i *membership.Info) { i.MachineID, i.PID, i.ProcessStart = "", 0, 0 })
	return n, w
}

// An exchange of views and a datagram of the earlier version are read, and both are written with
// the same bytes.
func TestNetworkBytesOfEarlierVersion(t *testing.T) {
	s1 := membership.Info{Name: "s1", Incarnation: 11, Role: membership.RoleSidecar}
	n, w := startWithTestTransport(t, s1)
	n.mu.Lock()
	n.addrs["k1/1796175124000001"] = "127.0.0.1:9602"
	n.mu.Unlock()
	n.send([]string{"k1/1796175124000001"}, message{Kind: messageDigest, Key: "s1/11", Digest: 0x123456789abcdef0})
	equalBytes(t, "datagram.bin", <-w.sent)
	joined := make(chan struct{})
	go func() {
		defer close(joined)
		_, _ = n.list.Load().Join([]string{"127.0.0.1:9602"}) // not answered
	}()
	far := <-w.dialed
	if err := far.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	text := make([]byte, len(fixture.Read(t, "push_pull_stream.bin")))
	if _, err := io.ReadFull(far, text); err != nil {
		t.Fatal(err)
	}
	equalBytes(t, "push_pull_stream.bin", text)
	if err := far.Close(); err != nil {
		t.Error(err)
	}
	<-joined

	other, w := startWithTestTransport(t, membership.Info{Name: "s2", Incarnation: 12, Role: membership.RoleSidecar})
	near, far := net.Pipe()
	w.streams <- near
	if err := far.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := far.Write(fixture.Read(t, "push_pull_stream.bin")); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(far); err != nil { // its own views, until it closes
		t.Fatal(err)
	}
	if got, ok := other.Get("s1/11"); !ok || got.Info != s1 || got.Status != membership.StatusPresent {
		t.Errorf("got %+v, want s1 as present", got)
	}
	w.packets <- &memberlist.Packet{Buf: fixture.Read(t, "datagram.bin"), From: &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 9601}, Timestamp: time.Now()}
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		other.mu.Lock()
		_, compared := other.view.Agreement(0)
		other.mu.Unlock()
		if compared == 1 {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("the digest in the datagram was not recorded")
		}
	}
}
