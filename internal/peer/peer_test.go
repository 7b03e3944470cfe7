package peer_test

import (
	"context"
	"fmt"
	"net"
	"reflect"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"mimosatide.example/mimosatide/internal/dispatch"
	"mimosatide.example/mimosatide/internal/fleet"
	"mimosatide.example/mimosatide/internal/journal"
	"mimosatide.example/mimosatide/internal/limit"
	"mimosatide.example/mimosatide/internal/peer"
	"mimosatide.example/mimosatide/internal/placement"
)

func messages() []any {
	return []any{
		fleet.Ping{Round: 1, Row: 2},
		fleet.HeadReport{Round: 3, Row: 4, Host: "host", Head: []byte("head")},
		fleet.HeadPush{Round: 5, Row: 6, Head: []byte("head")},
		fleet.SilentReport{Address: "127.0.0.1:1"},
		fleet.ReadRequest{Round: 7, Row: 8},
		fleet.ReadResponse{Round: 9, Row: 10, Head: []byte("head")},
		fleet.EntriesRequest{After: 11},
		fleet.EntriesResponse{First: 12, Entries: [][]byte{[]byte("entry")}},
		limit.LoanRequest{ID: 13, Account: "schools", Tokens: 1.5},
		limit.LoanGrant{ID: 14, Account: "schools", Tokens: 2.5, Balance: 3.5},
		limit.LoanReturn{ID: 15, Account: "schools", Tokens: 4.5},
		placement.DemandReport{Model: "m", Waiting: 1, Outstanding: 2, Adapters: map[string]int{"a": 3}, Zone: "z", Stake: 4},
		placement.ModelPlacements{Model: "m", Row: 5, Outstanding: 6, BlockedReason: "h", Placements: []placement.Placement{{
			ID: "m@1", Model: "m", Version: "v", Target: "t", State: placement.Ready, FencingToken: 7,
			Adapters: []placement.AdapterState{{Name: "a", Version: "v", Ready: true}},
		}}},
		placement.Stakes{ByModel: map[string]float64{"m": 1}},
		placement.SlotFreed{},
		placement.QuiesceRequest{Placement: "m@1"},
		placement.QuiesceConfirmation{Placement: "m@1", Incarnation: 8},
		placement.EvictRequest{Placement: "m@1"},
		placement.TargetLeaving{Target: "t"},
		dispatch.CrashReport{Digest: "d", ID: "c"},
		peer.JournalRequest{ID: 16, Subject: "s"},
		peer.JournalResponse{ID: 17, Entries: []journal.Entry{{At: 1, What: "w", Reason: "r", Fields: []journal.Field{{Name: "n", Value: "v"}}}}},
	}
}

func TestDecodeReturnsEveryEncodedMessage(t *testing.T) {
	for _, message := range messages() {
		data, err := peer.Encode(message)
		if err != nil {
			t.Fatalf("encode %T: got error %v, want none", message, err)
		}
		decoded, err := peer.Decode(data)
		if err != nil || !reflect.DeepEqual(decoded, message) {
			t.Errorf("%T: want %+v, got %+v, error %v", message, message, decoded, err)
		}
	}
}

// FuzzDecode checks that Decode does not panic on any bytes from a peer.
func FuzzDecode(f *testing.F) {
	for _, message := range messages() {
		data, _ := peer.Encode(message)
		f.Add(data)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = peer.Decode(data)
	})
}

type received struct {
	from    string
	message any
}

// startHub runs a hub at the address. It returns the messages that the hub receives, the
// hub, and a function that stops the hub; the end of the test stops it too.
func startHub(t *testing.T, address, secret string) (chan received, *peer.Hub, context.CancelFunc) {
	t.Helper()
	inbox := make(chan received, 100)
	settings := peer.Settings{Self: address, Listen: address, Secret: []byte(secret), PingInterval: 100 * time.Millisecond}
	hub, err := peer.New(settings, logr.Discard(), func(from string, message any) { inbox <- received{from: from, message: message} })
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		hub.Run(ctx)
		close(ended)
	}()
	stopAndWait := func() {
		stop()
		<-ended
	}
	t.Cleanup(stopAndWait)
	return inbox, hub, stopAndWait
}

func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// sendUntilReceived sends numbered messages until one is received, as a hub may lose some.
func sendUntilReceived(t *testing.T, hub *peer.Hub, to string, inbox chan received) received {
	t.Helper()
	for round := range uint64(200) {
		hub.Send(to, fleet.Ping{Round: round})
		select {
		case got := <-inbox:
			return got
		case <-time.After(50 * time.Millisecond):
		}
	}
	t.Fatal("got no message after 200 sends, want one")
	return received{}
}

func TestHubReconnectsAfterPeerRestarts(t *testing.T) {
	first, second := freeAddress(t), freeAddress(t)
	_, sender, _ := startHub(t, first, "the same secret")
	inbox, _, stop := startHub(t, second, "the same secret")
	if got := sendUntilReceived(t, sender, second, inbox); got.from != first {
		t.Fatalf("got a message from %s, want one from the first hub", got.from)
	}
	stop()
	restartedInbox, _, _ := startHub(t, second, "the same secret")
	sendUntilReceived(t, sender, second, restartedInbox)
}

func TestFullQueueDropsItsOldestMessage(t *testing.T) {
	const last = uint64(50)
	address := freeAddress(t)
	settings := peer.Settings{Self: address, Listen: address, Secret: []byte("secret"), PingInterval: time.Second, QueueLength: 2}
	sender, err := peer.New(settings, logr.Discard(), func(string, any) {})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		sender.Run(ctx)
		close(ended)
	}()
	t.Cleanup(func() {
		stop()
		<-ended
	})
	to := freeAddress(t)
	inbox, _, _ := startHub(t, to, "secret")
	sendUntilReceived(t, sender, to, inbox)
	for round := range last + 1 {
		sender.Send(to, fleet.Ping{Round: round + 1000})
	}
	for {
		select {
		case got := <-inbox:
			if ping, _ := got.message.(fleet.Ping); ping.Round == last+1000 {
				return
			}
		case <-time.After(10 * time.Second):
			t.Fatal("newest message not received within 10 s, want it kept when the queue overflows")
		}
	}
}

func TestHubRejectsPeerWithWrongSecret(t *testing.T) {
	first, second := freeAddress(t), freeAddress(t)
	_, sender, _ := startHub(t, first, "a wrong secret")
	inbox, _, _ := startHub(t, second, "the right secret")
	for round := range uint64(20) {
		sender.Send(second, fleet.Ping{Round: round})
		time.Sleep(10 * time.Millisecond)
	}
	if len(inbox) != 0 {
		t.Fatal("got a message from a peer with the wrong secret, want none")
	}
}

func TestNewFailsIfPeerPortIsInUse(t *testing.T) {
	address := freeAddress(t)
	startHub(t, address, "secret")
	_, err := peer.New(peer.Settings{Self: address, Listen: address}, logr.Discard(), nil)
	if err == nil {
		t.Fatal(fmt.Sprint("New returned no error, want one as another hub listens at ", address))
	}
}
