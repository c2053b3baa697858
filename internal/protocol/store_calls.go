package protocol

import (
	"fmt"
	"strconv"

	"pipitgap/internal/monotime"
	"pipitgap/internal/transport"
)

// StoreOp names a call of the state service.
type StoreOp int

// Calls of the state service.
const (
	StoreGet StoreOp = iota
	StoreList
	StoreCommit
	StoreGrantLease
	StoreKeepAlive
	StoreWatch
)

// StoreCall is one call of the state service.
type StoreCall struct {
	Op           StoreOp
	Key          string // get, list and watch: the key or prefix
	After        string // list: the key after which it continues
	Limit        int    // list: most records of a page
	Transaction  Transaction
	Lease        uint64          // keep-alive
	TTL          monotime.Micros // grant of a lease
	FromRevision uint64          // watch: changes after this one
	MaxBlock     monotime.Micros // watch: how long to wait for a change
	Timeout      monotime.Micros // deadline
}

// Writes returns how many puts and deletes a call is counted for.
func (c *StoreCall) Writes() int { return len(c.Transaction.Then) }

// StoreResult answers it.
type StoreResult struct {
	Outcome  Outcome
	Item     KeyValue   // of a get
	Items    []KeyValue // of a list
	More     bool       // further pages follow
	Revision uint64     // of the answer, or of the commit
	Failed   []string   // keys whose conditions failed
	Lease    uint64     // granted
	Events   []Event    // of a watch
}

// CallStore performs a call of the state service and waits for it.
func CallStore(client *transport.Client, call *StoreCall) StoreResult {
	switch call.Op {
	case StoreGet:
		return callGet(client, call)
	case StoreList:
		return callList(client, call)
	case StoreCommit:
		return callCommit(client, call)
	case StoreGrantLease:
		return callGrantLease(client, call)
	case StoreKeepAlive:
		_, outcome := send(client, wireRequest{
			method: "POST", target: KeepAlivePath(call.Lease), timeout: call.Timeout,
		})
		return StoreResult{Outcome: outcome}
	case StoreWatch:
		return callWatch(client, call)
	}
	return StoreResult{}
}

// exchange sends a request to the state service and decodes the body of a response that says whether the call
// was executed. A body that can't be decoded proves nothing: the outcome is unknown.
func exchange(client *transport.Client, request wireRequest, out any) Outcome {
	message, outcome := send(client, request)
	if outcome != OK && outcome != Conflict {
		return outcome
	}
	if Unmarshal(message.Body, out) != nil {
		return Unknown
	}
	return outcome
}

// callGet reads a key. An answer without a version is none.
func callGet(client *transport.Client, call *StoreCall) StoreResult {
	var item KeyValue
	request := wireRequest{method: "GET", target: KeyPath(call.Key), timeout: call.Timeout}
	outcome := exchange(client, request, &item)
	if outcome == Unknown || outcome == OK && item.Version == 0 {
		return StoreResult{}
	}
	return StoreResult{Outcome: outcome, Item: item}
}

// callList reads a page of the keys below a prefix.
func callList(client *transport.Client, call *StoreCall) StoreResult {
	var list KeyValueList
	target := KeysPath + "?under=" + call.Key + "&limit=" + strconv.Itoa(call.Limit)
	if call.After != "" {
		target += "&from=" + call.After
	}
	outcome := exchange(client, wireRequest{method: "GET", target: target, timeout: call.Timeout}, &list)
	if outcome == Unknown {
		return StoreResult{}
	}
	return StoreResult{Outcome: outcome, Items: list.Items, More: list.More, Revision: list.Revision}
}

// callCommit makes a conditional change.
func callCommit(client *transport.Client, call *StoreCall) StoreResult {
	transaction := call.Transaction
	if transaction.If == nil {
		transaction.If = []Compare{} // the state service wants a list
	}
	var reply TransactionReply
	request := wireRequest{
		method: "POST", target: CommitPath, body: MustMarshal(&transaction), timeout: call.Timeout,
	}
	outcome := exchange(client, request, &reply)
	// There is nothing that a commit could fail to find: such an answer is none.
	if outcome == Unknown || outcome == NotFound || outcome == OK && reply.Revision == 0 {
		return StoreResult{}
	}
	return StoreResult{Outcome: outcome, Revision: reply.Revision, Failed: reply.Failed}
}

// callGrantLease has a lease granted. An answer without a lease is none.
func callGrantLease(client *transport.Client, call *StoreCall) StoreResult {
	var grant LeaseReply
	body := MustMarshal(&LeaseRequest{TTLMillis: call.TTL.Milliseconds()})
	request := wireRequest{method: "POST", target: LeasesPath, body: body, timeout: call.Timeout}
	outcome := exchange(client, request, &grant)
	if outcome == Unknown || outcome == OK && grant.Lease == 0 {
		return StoreResult{}
	}
	return StoreResult{Outcome: outcome, Lease: grant.Lease}
}

// callWatch waits for changes of the keys below a prefix.
func callWatch(client *transport.Client, call *StoreCall) StoreResult {
	var watch WatchReply
	target := fmt.Sprintf("%s?under=%s&from=%d&block_ms=%d",
		WatchPath, call.Key, call.FromRevision, call.MaxBlock.Milliseconds())
	outcome := exchange(client, wireRequest{method: "GET", target: target, timeout: call.Timeout}, &watch)
	if outcome == Unknown {
		return StoreResult{}
	}
	return StoreResult{Outcome: outcome, Events: watch.Events, Revision: watch.Revision}
}
