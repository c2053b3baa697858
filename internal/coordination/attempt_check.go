package coordination

import (
	"fmt"

	"pipitgap/internal/invariant"
	"pipitgap/internal/mirror"
)

// reportedDuplicates holds the tasks that have been reported to have more than one attempt and still have.
type reportedDuplicates map[mirror.TaskID]bool

// checkSingleAttempts reports each task of a changed shard of which another shard records an attempt too, once
// while that lasts. Records that are still being loaded may show a task in two shards, because their lists are
// of different revisions.
func (c *Controller) checkSingleAttempts(name string) {
	if !c.replica.Ready() {
		return
	}
	for task := range c.duplicates {
		if !c.mirror.IsDuplicated(task) {
			delete(c.duplicates, task)
		}
	}
	shard := c.mirror.Shards[name]
	if shard == nil {
		return
	}
	for _, task := range c.mirror.DuplicatedTasks(shard) {
		if c.duplicates[task] {
			continue
		}
		c.duplicates[task] = true
		c.invariants.Violated(invariant.SingleAttempt,
			"task", task.String(), "attempts", fmt.Sprint(c.mirror.AttemptsOf(task)))
	}
}
