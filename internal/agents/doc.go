// Package agents communicates with the worker agents, one per machine, and keeps a controller's state of the
// agents on the machines that the controller has claimed.
//
// A worker agent sends heartbeats, which report the attempts on its machine, and executes commands: run, kill
// or reap an attempt. An Agent is the controller's state of one worker agent and does no input or output: it
// applies reports, returns their consequences, and computes the next batch of commands. A Manager holds the
// Agents, decides which controller answers which heartbeat, sends commands and checks the machines' health.
// Cancellations decides whether leases may be renewed at all. Three mechanisms keep this safe when messages
// are lost, delayed or duplicated:
//
//   - Fencing tokens. Every non-empty batch has a token above all earlier ones. The high bits of a token are
//     the number of the claim, so an agent rejects commands of an earlier owner and of an earlier batch. A
//     report contains the highest token that the agent has seen, which shows which commands the agent must
//     have received.
//   - Incarnations. An agent that has had no contact for longer than its lease kills all its attempts and
//     starts a new incarnation. Attempts that the new incarnation does not report have ended.
//   - Leases. An agent whose heartbeats have not been answered for the length of its lease kills all its
//     attempts itself. After enough time without an answer, the controller therefore knows that all of them
//     have ended.
//
// An attempt that is proven to have ended has an outcome, which the Agent keeps until the records contain it.
package agents
