package loopback

import (
	"bytes"
	"os/exec"
	"time"

	"pipitgap/internal/fake"
	"pipitgap/internal/monotime"
	"pipitgap/internal/transport"
)

// RunCommand runs an operator's command and returns its standard output, followed by its standard error, and
// its exit status.
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

// Limits of users' requests.
const (
	userTimeout  = 5 * monotime.Second
	maxUserReply = 64 << 10 // bytes
)

// UserRequest sends a user's request to a controller and reports it to the checker. The status is 0 if there
// is no answer.
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

// pollInterval is the time between two evaluations of a condition.
const pollInterval = 20 * time.Millisecond

// Eventually waits until a condition on the fakes holds, and reports whether it did in time. It evaluates the
// condition inside Clock.Do.
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
