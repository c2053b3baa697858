package daemon

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"

	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/transport"
)

// TestWorkerPoolEvictsLeastRecentlyUsed: a controller that speaks to more workers than it may keep
// connections to drops the one used longest ago, and of a request that was in flight
// meanwhile nothing is left open.
func TestWorkerPoolEvictsLeastRecentlyUsed(t *testing.T) {
	p := workerPool{maxClients: 3}
	for i := 0; i < 3; i++ {
		p.client(fmt.Sprint("127.0.0.1:", i+1))
	}
	first := p.client("127.0.0.1:1")
	if p.client("127.0.0.1:9"); p.clients["127.0.0.1:2"] != nil || p.clients["127.0.0.1:1"] == nil ||
		len(p.clients) != 3 {
		t.Errorf("kept %d, want all but the one used longest ago", len(p.clients))
	}
	if p.client("127.0.0.1:1") != first {
		t.Error("a kept client is made anew")
	}

	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	var open atomic.Int32
	asked, answer, over := make(chan bool), make(chan bool), make(chan bool)
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		open.Add(1)
		buf := make([]byte, 4096)
		_, _ = c.Read(buf)
		asked <- true
		<-answer
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
		_, _ = c.Read(buf) // until the other side closes
		open.Add(-1)
		over <- true
	}()
	client := transport.NewClient(listener.Addr().String(), 1, 1024)
	done := make(chan error)
	go func() {
		_, err := client.Do("GET", protocol.WorkerReportPath, nil, 20*monotime.Second)
		done <- err
	}()
	<-asked
	client.Close()
	answer <- true
	if err := <-done; err != nil {
		t.Error(err)
	}
	<-over
	if n := open.Load(); n != 0 {
		t.Errorf("%d connections are left open", n)
	}
}
