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

// TestAnswersWithoutStateServiceAndCloud runs a whole controller on loopback whose state service and cloud
// refuse every connection: it must answer everybody at once, keep within its
// connections and stay up.
func TestAnswersWithoutStateServiceAndCloud(t *testing.T) {
	free := func() string { return fixtures.FreeAddress(t) }
	cfg := &config.Config{Node: "n-0", Area: "a", PublicAddr: free(), PeerBind: free()}
	cfg.External.State, cfg.External.Cloud = free(), free()
	cfg.Peers = []config.Peer{{Node: "n-1", Area: "b", Addr: free()}}
	f := &cfg.Facts
	f.Zones, f.Teams = []string{"a", "b"}, []config.Team{{Name: "t"}}
	f.Workers.HeartbeatIntervalS, f.Workers.LeaseS, f.Workers.CancelWithinS = 2, 12, 32
	f.State.RPS, f.State.WriteRPS, f.State.ValueKB, f.State.TxnOps = 200, 50, 4, 12
	f.Cloud.RPS = 6
	f.Quota.Cores, f.Quota.MemoryMB, f.Quota.MaxConnections = 0.3, 100, 140
	ended := make(chan error, 1)
	go func() { ended <- Run(cfg, config.Defaults(), slog.New(slog.NewTextHandler(io.Discard, nil))) }()

	client := transport.NewClient(cfg.PublicAddr, 1, 1024)
	up := false
	for i := 0; i < 400 && !up; i++ {
		_, err := client.Do("GET", "/healthz", nil, 5*monotime.Second)
		up = err == nil
		if !up {
			time.Sleep(10 * time.Millisecond) // until the listener is there
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
			t.Errorf("%s %s: %+v %v, want %d", tc.method, tc.target, m, err, tc.want)
			continue
		}
		if m.Status == 503 && m.RetryAfter < 1 {
			t.Errorf("%s %s: no time to come back", tc.method, tc.target)
		}
	}
	// Twice as many connections as the quota allows, a request on each: what is
	// over the bound is closed, the rest is answered, and it goes on serving.
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
	if most := 140*8/10 - 32; answered == 0 || answered > most {
		t.Errorf("%d connections answered, at most %d are to be kept", answered, most)
	}
	if m, err := client.Do("GET", "/healthz", nil, 10*monotime.Second); err != nil || m.Status != 503 {
		t.Errorf("after the flood: %+v %v", m, err)
	}
	select {
	case err := <-ended:
		t.Errorf("ended: %v", err)
	default:
	}
}

// TestTimersRunInOrderOfTime: in order of time, then of their making; what is added while they
// run waits for the next time.
func TestTimersRunInOrderOfTime(t *testing.T) {
	var timers timerHeap
	got := ""
	add := func(at monotime.Micros, name string) { timers.schedule(at, func() { got += name }) }
	add(30, "c")
	add(10, "a")
	add(10, "b")
	timers.schedule(20, func() { got += "-"; add(20, "d") })
	if w := timers.untilNext(4); w != 6 {
		t.Errorf("waits %d", w)
	}
	timers.runDue(25)
	if got != "ab-" {
		t.Errorf("ran %q", got)
	}
	timers.runDue(30)
	if got != "ab-dc" || timers.untilNext(30) != monotime.Minute {
		t.Errorf("ran %q", got)
	}
}
