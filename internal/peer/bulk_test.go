package peer_test

import (
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"mimosatide.example/mimosatide/internal/peer"
)

// textCodec encodes strings; those that begin with "bulk" are bulk messages.
type textCodec struct{}

func (textCodec) Encode(message any) ([]byte, error) { return []byte(message.(string)), nil }

func (textCodec) Decode(data []byte) (any, error) { return string(data), nil }

func (textCodec) Bulk(message any) bool { return strings.HasPrefix(message.(string), "bulk") }

// slowLink forwards connections to an address; all of them share its rate.
func slowLink(t *testing.T, to string, bytesPerSecond int) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	var link sync.Mutex
	forward := func(from, to net.Conn) {
		defer func() { _ = to.Close() }()
		buffer := make([]byte, 16<<10)
		for {
			count, err := from.Read(buffer)
			if err != nil {
				return
			}
			link.Lock()
			time.Sleep(time.Duration(count) * time.Second / time.Duration(bytesPerSecond))
			link.Unlock()
			if _, err := to.Write(buffer[:count]); err != nil {
				return
			}
		}
	}
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", to)
			if err != nil {
				_ = client.Close()
				continue
			}
			go forward(client, server)
			go func() { _, _ = io.Copy(client, server); _ = client.Close() }()
		}
	}()
	return listener.Addr().String()
}

func startTextHub(t *testing.T, receive func(message string)) (*peer.Hub, string) {
	t.Helper()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := free.Addr().String()
	_ = free.Close()
	hub, err := peer.New(peer.Settings{
		Codec: textCodec{}, Self: address, Listen: address, PingInterval: peer.DefaultPingInterval,
	}, logr.Discard(), func(_ string, message any) { receive(message.(string)) })
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go hub.Run(ctx)
	return hub, address
}

// TestSmallMessagesDoNotWaitBehindBulk guards against a node that its peers take for dead
// while it sends them a large document.
func TestSmallMessagesDoNotWaitBehindBulk(t *testing.T) {
	received := make(chan string, 100)
	_, to := startTextHub(t, func(message string) { received <- message })
	hub, _ := startTextHub(t, func(string) {})
	link := slowLink(t, to, 4<<20)
	for name := range strings.FieldsSeq("small-connecting bulk-connecting") {
		for sent := false; !sent; {
			hub.Send(link, name)
			select {
			case <-received:
				sent = true
			case <-time.After(time.Second):
			}
		}
	}
	const bulk = 12
	for range bulk {
		hub.Send(link, "bulk"+strings.Repeat(".", 1<<20))
	}
	hub.Send(link, "small")
	for before := 0; ; before++ {
		select {
		case message := <-received:
			if message != "small" {
				continue
			}
			if before == bulk {
				t.Errorf("bulk messages that arrived before a later small one: got all %d, want fewer", before)
			}
			return
		case <-time.After(20 * time.Second):
			t.Fatalf("the small message did not arrive, after %d bulk messages", before)
		}
	}
}

// TestUnusedConnectionIsClosed guards against connections that are pinged every second for as
// long as the process lives, because a message was once sent to each of many peers.
func TestUnusedConnectionIsClosed(t *testing.T) {
	received := make(chan string, 10)
	_, to := startTextHub(t, func(message string) { received <- message })
	hub, _ := startTextHub(t, func(string) {})
	for _, message := range []string{"first", "second"} {
		for arrived := false; !arrived; {
			// A hub discards messages until it runs.
			hub.Send(to, message)
			select {
			case got := <-received:
				arrived = got == message
			case <-time.After(time.Second):
			}
		}
		if got := hub.Counts().Open; got != 1 {
			t.Errorf("after a message: got %d open connections, want 1", got)
		}
		for begun := time.Now(); hub.Counts().Open > 0; time.Sleep(10 * time.Millisecond) {
			if time.Since(begun) > 20*time.Second {
				t.Fatal("the connection is still open 20 s after its last message")
			}
		}
	}
}
