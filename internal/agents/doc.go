// Package agents answers the worker agents, one on each machine, and keeps what a controller knows of those
// on the machines that it has claimed.
//
// A worker agent sends heartbeats, which report the attempts on its machine, and takes commands: run, kill
// and reap an attempt. An Agent is the controller's state of one of them and is free of input and output: it
// takes a report and says what follows from it, and it works out the next batch of commands. A Manager holds
// the Agents, decides who answers which heartbeat, sends commands and looks after the machines' health.
// Cancellations decides whether leases may be renewed at all. Three things make this safe while messages are
// lost, late and repeated:
//
//   - Fencing tokens. Every batch that isn't empty has a token above all earlier ones, and a token begins
//     with the number of the claim, so an agent drops what an earlier owner or an earlier batch says. A
//     report shows the highest token that the agent has seen, and with that which commands it must have
//     taken up.
//   - Incarnations. An agent that was cut off for longer than its lease kills everything and begins a new
//     incarnation. What a new incarnation doesn't report is gone.
//   - Leases. An agent that has had no answer to a heartbeat for the length of its lease kills everything
//     itself, so after enough time without an answer all its attempts are known to be gone.
//
// An attempt that is proven gone has an outcome, which stays with the Agent until the records hold it.
package agents
