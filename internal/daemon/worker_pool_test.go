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

// TestWorkerPoolEvictsLeastRecentlyUsed checks that a full pool evicts the least recently used client. It
// also checks that a client that is closed during a request closes its connection after the response.
func TestWorkerPoolEvictsLeastRecentlyUsed(t *testing.T) {
	p := workerPool{maxClients: 3}
	for i := 0; i < 3; i++ {
		p.client(fmt.Sprint("127.0.0.1:", i+1))
	}
	first := p.client("127.0.0.1:1")
	if p.client("127.0.0.1:9"); p.clients["127.0.0.1:2"] != nil || p.clients["127.0.0.1:1"] == nil ||
		len(p.clients) != 3 {
		t.Errorf("got %d clients, want 3 with 127.0.0.1:1 and without 127.0.0.1:2, the least recently used",
			len(p.clients))
	}
	if p.client("127.0.0.1:1") != first {
		t.Error("127.0.0.1:1: got a new client, want the pooled one")
	}

	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	var open atomic.Int32
	requestReceived, sendResponse, connectionClosed := make(chan bool), make(chan bool), make(chan bool)
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		open.Add(1)
		buf := make([]byte, 4096)
		_, _ = c.Read(buf)
		requestReceived <- true
		<-sendResponse
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
		_, _ = c.Read(buf) // until the client closes the connection
		open.Add(-1)
		connectionClosed <- true
	}()
	client := transport.NewClient(listener.Addr().String(), 1, 1024)
	requestDone := make(chan error)
	go func() {
		_, err := client.Do("GET", protocol.WorkerReportPath, nil, 20*monotime.Second)
		requestDone <- err
	}()
	<-requestReceived
	client.Close()
	sendResponse <- true
	if err := <-requestDone; err != nil {
		t.Errorf("request during Close: got error %v, want none", err)
	}
	<-connectionClosed
	if n := open.Load(); n != 0 {
		t.Errorf("got %d open connections, want 0", n)
	}
}
