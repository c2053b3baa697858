package loopback

import (
	"bufio"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"pipitgap/internal/config"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
)

// killedChildEnv is the environment variable that holds the path of the controller program for the child
// process. If it is set, this test binary runs as that child.
const killedChildEnv = "PIPITGAP_TEST_ABRUPT"

// pidPrefix marks the lines of the child's output that contain the process ID of a controller.
const pidPrefix = "controller "

// TestAbruptlyKilledChildProcess runs only as a child process of TestControllersEndWithTestProcess. It starts
// controllers, prints their process IDs and kills itself with SIGKILL, so that no cleanup runs.
func TestAbruptlyKilledChildProcess(t *testing.T) {
	program := os.Getenv(killedChildEnv)
	if program == "" {
		t.Skip("runs only as a child process of TestControllersEndWithTestProcess")
	}
	d := NewDeployment(t, 1, Options{
		Binary:      program,
		Controllers: 2,
		Zones:       []string{"a"},
		Types: []protocol.MachineType{
			{
				Name:          "m8",
				CPUs:          8,
				MemoryGB:      64,
				OnDemandPrice: 1,
				SpotPrice:     1,
				Zones:         []string{"a"},
				BootS:         2,
			},
		},
		Teams:             []config.Team{{Name: "t"}},
		HeartbeatInterval: monotime.Second,
		LeaseTime:         10 * monotime.Second,
		CancelWithin:      30 * monotime.Second,
		StateRPS:          100,
		StateWriteRPS:     50,
	})
	for _, node := range d.Controllers {
		os.Stdout.WriteString(pidPrefix + strconv.Itoa(d.Process(node).pid()) + "\n")
	}
	_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
}

// TestControllersEndWithTestProcess guards against controllers that outlive a killed test process: its cleanup
// functions do not run, so the kernel must kill the controllers.
func TestControllersEndWithTestProcess(t *testing.T) {
	child := exec.Command(os.Args[0], "-test.run", "^TestAbruptlyKilledChildProcess$")
	child.Env = append(os.Environ(), killedChildEnv+"="+binary)
	out, err := child.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := child.Start(); err != nil {
		t.Fatal(err)
	}
	var pids []int
	for lines := bufio.NewScanner(out); lines.Scan(); {
		if number, ok := strings.CutPrefix(lines.Text(), pidPrefix); ok {
			pid, _ := strconv.Atoi(number)
			pids = append(pids, pid)
		}
	}
	_ = child.Wait()
	if len(pids) != 2 {
		t.Fatalf("got process IDs %v from the child, want 2", pids)
	}
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(pollInterval) {
		left := 0
		for _, pid := range pids {
			if processAlive(pid) {
				left++
			}
		}
		if left == 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("got %d of %d controllers alive 5 s after the test process was killed, want 0", left, len(pids))
		}
	}
}

// processAlive reports whether a process exists and is not a zombie.
func processAlive(pid int) bool {
	status, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	return err == nil && !strings.Contains(string(status), ") Z ")
}
