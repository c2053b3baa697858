package coordination

import (
	"strings"
	"testing"

	"pipitgap/internal/protocol"
	"pipitgap/internal/storage"
	"pipitgap/internal/storage/storagetest"
)

// TestDuplicateAttemptIsReportedOnce guards against a second attempt of a task that leaves no error line, and
// against one line for each later change of a shard.
func TestDuplicateAttemptIsReportedOnce(t *testing.T) {
	c := newCluster(t, 7).startWithLeader()
	service := c.submit(0, withService(true), withTasks(1))
	c.requireReplicas(service, 1, 60*second)
	c.store.Call("test", &protocol.StoreCall{
		Op:      protocol.StoreCommit,
		Timeout: second,
		Transaction: protocol.Transaction{Then: []protocol.Op{
			{Put: storage.ShardKey("second"), Value: storagetest.Shard("i-999999", service, 1, 0)},
		}},
	}, func(protocol.StoreResult) {})
	c.submit(0, withService(true), withTasks(2))
	c.sim.Run(10 * second)
	reports := 0
	for _, violation := range c.checker.Violations {
		if strings.Contains(violation.Detail, "task has one attempt") {
			reports++
		}
	}
	if reports != len(c.nodeNames) {
		t.Errorf("got %d reports, want one of each of the %d controllers", reports, len(c.nodeNames))
	}
	c.checker.Violations = nil // they are expected here
}
