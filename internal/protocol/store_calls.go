package protocol

import (
	"fmt"
	"strconv"

	"pipitgap/internal/monotime"
	"pipitgap/internal/transport"
)

// StoreOp is an operation of the state service's API.
type StoreOp int

// Operations of the state service's API.
const (
	StoreGet StoreOp = iota
	StoreList
	StoreCommit
	StoreGrantLease
	StoreKeepAlive
	StoreWatch
)

// StoreCall is one call to the state service.
type StoreCall struct {
	Op           StoreOp
	Key          string // get, list and watch: the key or prefix
	After        string // list: the page starts after this key; "": at the first key
	Limit        int    // list: maximum number of keys per page
	Transaction  Transaction
	Lease        uint64          // keep-alive
	TTL          monotime.Micros // grant: time to live of the lease
	FromRevision uint64          // watch: return the changes after this revision
	MaxBlock     monotime.Micros // watch: maximum time to wait for a change
	Timeout      monotime.Micros // timeout of the whole call
}

// Writes returns the number of puts and deletes of the call, which count against the write rate limit.
func (c *StoreCall) Writes() int { return len(c.Transaction.Then) }

// StoreResult is the result of a StoreCall.
type StoreResult struct {
	Outcome  Outcome
	Item     KeyValue   // get: the key
	Items    []KeyValue // list: the keys of the page
	More     bool       // list: more pages follow
	Revision uint64     // list, watch: revision of the response; commit: revision of the change
	Failed   []string   // commit: keys whose conditions failed
	Lease    uint64     // grant: the new lease
	Events   []Event    // watch: the changes
}

// CallStore sends a call to the state service and waits for the result.
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

// exchangeWithStore sends a request to the state service and decodes the body of an OK or Conflict response.
// The outcome is Unknown if the body can't be decoded: such a response doesn't prove whether the call was
// executed.
func exchangeWithStore(client *transport.Client, request wireRequest, out any) Outcome {
	message, outcome := send(client, request)
	if outcome != OK && outcome != Conflict {
		return outcome
	}
	if Unmarshal(message.Body, out) != nil {
		return Unknown
	}
	return outcome
}

// callGet reads a key. An OK response without a version is treated as an unknown outcome.
func callGet(client *transport.Client, call *StoreCall) StoreResult {
	var item KeyValue
	request := wireRequest{method: "GET", target: KeyPath(call.Key), timeout: call.Timeout}
	outcome := exchangeWithStore(client, request, &item)
	if outcome == Unknown || outcome == OK && item.Version == 0 {
		return StoreResult{}
	}
	return StoreResult{Outcome: outcome, Item: item}
}

// callList reads one page of the keys with a prefix.
func callList(client *transport.Client, call *StoreCall) StoreResult {
	var list KeyValueList
	target := KeysPath + "?under=" + call.Key + "&limit=" + strconv.Itoa(call.Limit)
	if call.After != "" {
		target += "&from=" + call.After
	}
	outcome := exchangeWithStore(client, wireRequest{method: "GET", target: target, timeout: call.Timeout}, &list)
	if outcome == Unknown {
		return StoreResult{}
	}
	return StoreResult{Outcome: outcome, Items: list.Items, More: list.More, Revision: list.Revision}
}

// callCommit executes a transaction.
func callCommit(client *transport.Client, call *StoreCall) StoreResult {
	transaction := call.Transaction
	if transaction.If == nil {
		transaction.If = []Compare{} // the state service requires a list
	}
	var reply TransactionReply
	request := wireRequest{
		method: "POST", target: CommitPath, body: MustMarshal(&transaction), timeout: call.Timeout,
	}
	outcome := exchangeWithStore(client, request, &reply)
	// A commit looks up no key, so NotFound is not a valid response. NotFound and an OK response without a
	// revision are treated as an unknown outcome.
	if outcome == Unknown || outcome == NotFound || outcome == OK && reply.Revision == 0 {
		return StoreResult{}
	}
	return StoreResult{Outcome: outcome, Revision: reply.Revision, Failed: reply.Failed}
}

// callGrantLease requests a lease. An OK response without a lease is treated as an unknown outcome.
func callGrantLease(client *transport.Client, call *StoreCall) StoreResult {
	var grant LeaseReply
	body := MustMarshal(&LeaseRequest{TTLMillis: call.TTL.Milliseconds()})
	request := wireRequest{method: "POST", target: LeasesPath, body: body, timeout: call.Timeout}
	outcome := exchangeWithStore(client, request, &grant)
	if outcome == Unknown || outcome == OK && grant.Lease == 0 {
		return StoreResult{}
	}
	return StoreResult{Outcome: outcome, Lease: grant.Lease}
}

// callWatch waits for changes of the keys with a prefix.
func callWatch(client *transport.Client, call *StoreCall) StoreResult {
	var watch WatchReply
	target := fmt.Sprintf("%s?under=%s&from=%d&block_ms=%d",
		WatchPath, call.Key, call.FromRevision, call.MaxBlock.Milliseconds())
	outcome := exchangeWithStore(client, wireRequest{method: "GET", target: target, timeout: call.Timeout}, &watch)
	if outcome == Unknown {
		return StoreResult{}
	}
	return StoreResult{Outcome: outcome, Events: watch.Events, Revision: watch.Revision}
}
