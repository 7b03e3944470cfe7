package peer_test

import (
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// cutLink forwards connections to an address. It ends each, cleanly or by a reset in turn, once it has
// forwarded limit bytes; zero forwards all. It returns its address and the number of connections that it has cut.
func cutLink(t *testing.T, to string, limit *atomic.Int64) (string, *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	var cut atomic.Int64
	forward := func(client, server *net.TCPConn) {
		defer func() { _ = client.Close() }()
		defer func() { _ = server.Close() }()
		go func() { _, _ = io.Copy(client, server) }()
		source, most := io.Reader(client), limit.Load()
		if most > 0 {
			source = io.LimitReader(client, most)
		}
		if count, err := io.Copy(server, source); err != nil || most == 0 || count < most {
			return
		}
		if cut.Add(1)%2 == 0 {
			_ = server.SetLinger(0)
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
			go forward(client.(*net.TCPConn), server.(*net.TCPConn))
		}
	}()
	return listener.Addr().String(), &cut
}

// A message whose connection ends within it must not pass for a whole one: a part of a digest would be taken
// for all that a peer reports.
func TestMessageOfAPeerIsWholeOrDropped(t *testing.T) {
	const size, cuts = 200_000, 6
	received := make(chan int, 100)
	_, to := startTextHub(t, func(message string) { received <- len(message) })
	var limit atomic.Int64
	limit.Store(size / 2)
	link, cut := cutLink(t, to, &limit)
	from, _ := startTextHub(t, func(string) {})
	message := strings.Repeat("x", size)
	for began := time.Now(); cut.Load() < cuts; time.Sleep(20 * time.Millisecond) {
		if time.Since(began) > 30*time.Second {
			t.Fatalf("got %d connections cut, want %d", cut.Load(), cuts)
		}
		from.Send(link, message)
	}
	if len(received) > 0 {
		t.Errorf("messages of %d bytes that were cut: got one of %d bytes, want none", size, <-received)
	}
	limit.Store(0)
	for began := time.Now(); len(received) == 0; time.Sleep(20 * time.Millisecond) {
		if time.Since(began) > 30*time.Second {
			t.Fatal("got no message over a link that cuts nothing")
		}
		from.Send(link, message)
	}
	if got := <-received; got != size {
		t.Errorf("message of %d bytes: got %d", size, got)
	}
}
