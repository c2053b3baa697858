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

// killedChildEnv names the program that the abrupt child is to start controllers of.
const killedChildEnv = "PIPITGAP_TEST_ABRUPT"

// pidPrefix stands before a controller's process id in the child's output.
const pidPrefix = "controller "

// TestAbruptlyKilledChildProcess is run as a process of its own: it starts controllers and is killed.
func TestAbruptlyKilledChildProcess(t *testing.T) {
	program := os.Getenv(killedChildEnv)
	if program == "" {
		t.Skip("only as a child of TestControllersEndWithTestProcess")
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

// TestControllersEndWithTestProcess: controllers end with the test's process, even if that is killed.
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
		t.Fatalf("controllers %v", pids)
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
			t.Fatalf("%d controllers are left", left)
		}
	}
}

// processAlive tells whether a process is there and no zombie.
func processAlive(pid int) bool {
	status, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	return err == nil && !strings.Contains(string(status), ") Z ")
}
