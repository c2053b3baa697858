package daemon

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"pipitgap/internal/config"
	"pipitgap/internal/fixtures"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/transport"
)

// TestAnswersWithoutStateServiceAndCloud runs a controller on the loopback interface. Its state service and
// cloud refuse every connection. It must still respond to every request without delay, keep its connection
// limit and continue to run.
func TestAnswersWithoutStateServiceAndCloud(t *testing.T) {
	freeAddress := func() string { return fixtures.FreeAddress(t) }
	cfg := &config.Config{Node: "n-0", Zone: "a", PublicAddr: freeAddress(), PeerBind: freeAddress()}
	cfg.External.State, cfg.External.Cloud = freeAddress(), freeAddress()
	cfg.Peers = []config.Peer{{Node: "n-1", Zone: "b", Addr: freeAddress()}}
	f := &cfg.Facts
	f.Zones, f.Teams = []string{"a", "b"}, []config.Team{{Name: "t"}}
	f.Workers.HeartbeatIntervalS, f.Workers.LeaseS, f.Workers.CancelTimeoutS = 2, 12, 32
	f.State.RPS, f.State.WriteRPS, f.State.ValueKB, f.State.TxnOps = 200, 50, 4, 12
	f.Cloud.RPS = 6
	f.Quota.Cores, f.Quota.MemoryMB, f.Quota.MaxConnections = 0.3, 100, 140
	ended := make(chan error, 1)
	go func() { ended <- Run(cfg, config.Defaults(), slog.New(slog.NewTextHandler(io.Discard, nil))) }()

	client := transport.NewClient(cfg.PublicAddr, 1, 1024)
	listening := false
	for i := 0; i < 400 && !listening; i++ {
		_, err := client.Do("GET", "/healthz", nil, 5*monotime.Second)
		listening = err == nil
		if !listening {
			time.Sleep(10 * time.Millisecond) // until the server listens
		}
	}
	cases := []struct {
		method, target string
		body           []byte
		want           int
	}{
		{"GET", "/healthz", nil, 503},
		{"GET", "/nothing", nil, 404},
		{"POST", protocol.JobsPath, []byte{0xc1}, 400},
		{"GET", protocol.JobPath("j-1"), nil, 503},
		{"POST", protocol.CancelPath("j-1"), nil, 503},
		{"POST", protocol.HeartbeatPath, []byte{0x80}, 400},
	}
	for _, tc := range cases {
		m, err := client.Do(tc.method, tc.target, tc.body, 10*monotime.Second)
		if err != nil || m.Status != tc.want {
			t.Errorf("%s %s: got response %+v, error %v, want status %d", tc.method, tc.target, m, err, tc.want)
			continue
		}
		if m.Status == 503 && m.RetryAfter < 1 {
			t.Errorf("%s %s: got Retry-After %d, want at least 1", tc.method, tc.target, m.RetryAfter)
		}
	}
	// Opens twice as many connections as the quota allows, with one request on each. The server must close
	// the connections above its limit, respond on the others and continue to serve.
	answered := 0
	for i := 0; i < 280; i++ {
		c, err := net.Dial("tcp4", cfg.PublicAddr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(20 * time.Second))
		fmt.Fprintf(c, "GET %s HTTP/1.1\r\n\r\n", protocol.JobPath(fmt.Sprint("j-", i)))
		if n, _ := c.Read(make([]byte, 512)); n > 0 {
			answered++
		}
	}
	if maxAnswered := 140*8/10 - 32; answered == 0 || answered > maxAnswered {
		t.Errorf("got a response on %d connections, want 1 to %d", answered, maxAnswered)
	}
	if m, err := client.Do("GET", "/healthz", nil, 10*monotime.Second); err != nil || m.Status != 503 {
		t.Errorf("after 280 connections: got response %+v, error %v, want status 503", m, err)
	}
	select {
	case err := <-ended:
		t.Errorf("got a controller that ended with error %v, want it running", err)
	default:
	}
}

// TestTimersRunInOrderOfTime checks that timers run in the order of their due times, and in the order of
// scheduling if these are equal. A timer that a running timer adds must not run before the next call.
func TestTimersRunInOrderOfTime(t *testing.T) {
	var timers timerHeap
	got := ""
	add := func(at monotime.Micros, name string) { timers.schedule(at, func() { got += name }) }
	add(30, "c")
	add(10, "a")
	add(10, "b")
	timers.schedule(20, func() { got += "-"; add(20, "d") })
	if wait := timers.untilNext(4); wait != 6 {
		t.Errorf("got a wait of %d µs, want 6", wait)
	}
	timers.runDue(25)
	if got != "ab-" {
		t.Errorf("got timers %q, want ab-", got)
	}
	timers.runDue(30)
	if got != "ab-dc" || timers.untilNext(30) != monotime.Minute {
		t.Errorf("got timers %q and a wait of %d µs, want ab-dc and %d", got, timers.untilNext(30), monotime.Minute)
	}
}
