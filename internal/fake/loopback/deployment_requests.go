package loopback

import (
	"bytes"
	"os/exec"
	"time"

	"pipitgap/internal/fake"
	"pipitgap/internal/monotime"
	"pipitgap/internal/transport"
)

// RunCommand runs an operator's command and returns what it printed and its exit status.
func (d *Deployment) RunCommand(args ...string) (output string, status int) {
	d.t.Helper()
	cmd := exec.Command(d.options.Binary, append(args, d.configFlags(operatorCaller)...)...)
	var out, errs bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errs
	err := cmd.Run()
	if cmd.ProcessState == nil {
		d.t.Fatal(err)
	}
	return out.String() + errs.String(), cmd.ProcessState.ExitCode()
}

// Bounds of users' requests.
const (
	userTimeout  = 5 * monotime.Second
	maxUserReply = 64 << 10 // bytes
)

// UserRequest sends a user's request to a controller. The status is 0 if there was no answer.
func (d *Deployment) UserRequest(node, method, target string, body []byte) (status int, reply []byte) {
	var pending *fake.PendingRequest
	d.Clock.Do(func() { pending = d.Checker.UserRequest(method, target, body) })
	client := transport.NewClient(d.publicAddrs[node], 1, maxUserReply)
	defer client.Close()
	message, err := client.Do(method, target, body, userTimeout)
	if err != nil {
		return 0, nil
	}
	if pending != nil {
		d.Clock.Do(func() { pending.Answered(message.Status, message.Body) })
	}
	return message.Status, message.Body
}

// pollInterval is how often a condition is evaluated.
const pollInterval = 20 * time.Millisecond

// Eventually waits until a condition on the fakes holds, and tells whether it did in time. The condition is
// evaluated on the clock.
func (d *Deployment) Eventually(within time.Duration, ok func() bool) bool {
	for deadline := time.Now().Add(within); ; time.Sleep(pollInterval) {
		held := false
		d.Clock.Do(func() { held = ok() })
		if held {
			return true
		}
		if time.Now().After(deadline) {
			return false
		}
	}
}
