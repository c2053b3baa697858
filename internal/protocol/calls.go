package protocol

import (
	"fmt"
	"net/url"
	"strconv"

	"pipitgap/internal/monotime"
	"pipitgap/internal/transport"
)

// Outcome is what became of a call to the state service or the cloud.
type Outcome int

// Outcomes. Unknown means that the call may have been executed or may yet be.
const (
	Unknown     Outcome = iota
	OK                  // 200
	Conflict            // 409: nothing changed
	NotFound            // 404
	Compacted           // 410: the watch has fallen behind
	Rejected            // 400
	NoCapacity          // 503 with "no capacity"
	Throttled           // 429: not executed
	Unavailable         // 503, or never sent: not executed
)

// String names the outcome for log lines and errors.
func (o Outcome) String() string {
	return [...]string{
		"unknown", "ok", "conflict", "not found", "too old", "rejected", "no capacity", "throttled", "unavailable",
	}[o]
}

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
	After        string
	Limit        int
	Transaction  Transaction
	Lease        uint64
	TTL          monotime.Micros
	FromRevision uint64
	MaxBlock     monotime.Micros
	Timeout      monotime.Micros // deadline
}

// Writes tells how many puts and deletes a call is counted for.
func (c *StoreCall) Writes() int { return len(c.Transaction.Then) }

// StoreResult answers it.
type StoreResult struct {
	Outcome  Outcome
	Item     KeyValue
	Items    []KeyValue
	More     bool
	Revision uint64
	Failed   []string
	Lease    uint64
	Events   []Event
}

func outcomeOf(message *transport.Message, err error) Outcome {
	if err != nil {
		return Unknown
	}
	switch message.Status {
	case 200, 201, 204:
		return OK
	case 400:
		return Rejected
	case 404:
		return NotFound
	case 409:
		return Conflict
	case 410:
		return Compacted
	case 429:
		return Throttled
	case 503:
		return Unavailable
	}
	return Unknown
}

// CallStore performs a call of the state service and waits for it.
func CallStore(client *transport.Client, call *StoreCall) StoreResult {
	var message *transport.Message
	var err error
	var out any
	var transaction TransactionReply
	var list KeyValueList
	var watch WatchReply
	var grant LeaseReply
	var item KeyValue
	switch call.Op {
	case StoreGet:
		out = &item
		message, err = client.Do("GET", "/kv/"+call.Key, nil, call.Timeout)
	case StoreList:
		out = &list
		t := "/kv?under=" + call.Key + "&limit=" + strconv.Itoa(call.Limit)
		if call.After != "" {
			t += "&from=" + call.After
		}
		message, err = client.Do("GET", t, nil, call.Timeout)
	case StoreCommit:
		out = &transaction
		if call.Transaction.If == nil {
			call.Transaction.If = []Compare{}
		}
		message, err = client.Do("POST", "/commit", MustMarshal(&call.Transaction), call.Timeout)
	case StoreGrantLease:
		out = &grant
		message, err = client.Do(
			"POST",
			"/leases",
			MustMarshal(&LeaseRequest{TTLMillis: call.TTL.Milliseconds()}),
			call.Timeout,
		)
	case StoreKeepAlive:
		message, err = client.Do("POST", fmt.Sprintf("/leases/%d/touch", call.Lease), nil, call.Timeout)
	case StoreWatch:
		out = &watch
		t := fmt.Sprintf(
			"/watch?under=%s&from=%d&block_ms=%d",
			call.Key,
			call.FromRevision,
			call.MaxBlock.Milliseconds(),
		)
		message, err = client.Do("GET", t, nil, call.Timeout)
	}
	result := StoreResult{Outcome: outcomeOf(message, err)}
	wanted := result.Outcome == OK || result.Outcome == Conflict
	if wanted && out != nil {
		// Garbage in a 200 proves nothing: the outcome is unknown.
		if Unmarshal(message.Body, out) != nil {
			return StoreResult{}
		}
	}
	switch call.Op {
	case StoreGet:
		result.Item = item
		if result.Outcome == OK && item.Version == 0 {
			return StoreResult{}
		}
	case StoreList:
		result.Items, result.More, result.Revision = list.Items, list.More, list.Revision
	case StoreCommit:
		result.Revision, result.Failed = transaction.Revision, transaction.Failed
		if result.Outcome == OK && transaction.Revision == 0 || result.Outcome == NotFound {
			return StoreResult{}
		}
	case StoreGrantLease:
		result.Lease = grant.Lease
		if result.Outcome == OK && grant.Lease == 0 {
			return StoreResult{}
		}
	case StoreWatch:
		result.Events, result.Revision = watch.Events, watch.Revision
	}
	return result
}

// CloudOp names a call of the cloud.
type CloudOp int

// Calls of the cloud.
const (
	CloudCatalog CloudOp = iota
	CloudRent
	CloudDelete
	CloudList
)

// CloudCall is one call of the cloud.
type CloudCall struct {
	Op      CloudOp
	Rent    RentRequest
	Delete  []string
	After   string
	Timeout monotime.Micros
}

// CloudResult answers it.
type CloudResult struct {
	Outcome Outcome
	Types   []MachineType
	Rented  []string
	Listed  []ListedMachine
	More    bool
}

// CallCloud performs a call of the cloud and waits for it.
func CallCloud(client *transport.Client, call *CloudCall) CloudResult {
	var message *transport.Message
	var err error
	var catalog Catalog
	var rent RentReply
	var list MachineList
	var out any
	switch call.Op {
	case CloudCatalog:
		out = &catalog
		message, err = client.Do("GET", "/catalog", nil, call.Timeout)
	case CloudRent:
		out = &rent
		message, err = client.Do("POST", "/rentals", MustMarshal(&call.Rent), call.Timeout)
	case CloudDelete:
		message, err = client.Do(
			"POST",
			"/rentals/delete",
			MustMarshal(&DeleteMachinesRequest{Machines: call.Delete}),
			call.Timeout,
		)
	case CloudList:
		out = &list
		t := "/rentals?limit=500"
		if call.After != "" {
			t += "&from=" + url.QueryEscape(call.After)
		}
		message, err = client.Do("GET", t, nil, call.Timeout)
	}
	result := CloudResult{Outcome: outcomeOf(message, err)}
	if result.Outcome == OK && out != nil && Unmarshal(message.Body, out) != nil {
		return CloudResult{}
	}
	if result.Outcome == Unavailable && call.Op == CloudRent {
		// Only "no capacity" is an answer about the offer. Any other 503 is the
		// cloud's own trouble and says nothing about it.
		var e ErrorBody
		if Unmarshal(message.Body, &e) == nil && e.Error == "no capacity" {
			result.Outcome = NoCapacity
		}
	}
	result.Types, result.Rented, result.Listed, result.More = catalog.Types, rent.Machines, list.Machines, list.More
	return result
}

// CommandResult answers a direct command batch. With Status 200 or 409 it carries
// the worker's report; 0 means that there was no usable response.
type CommandResult struct {
	Status    int
	Heartbeat Heartbeat
}

// CallWorker sends a command batch to a worker; without one it only asks for the
// worker's report.
func CallWorker(client *transport.Client, req *CommandRequest, within monotime.Micros) CommandResult {
	var message *transport.Message
	var err error
	if req == nil {
		message, err = client.Do("GET", "/show", nil, within)
	} else {
		message, err = client.Do("POST", "/do", MustMarshal(req), within)
	}
	if err != nil || message.Status != 200 && message.Status != 409 {
		return CommandResult{}
	}
	result := CommandResult{Status: message.Status}
	if Unmarshal(message.Body, &result.Heartbeat) != nil {
		return CommandResult{}
	}
	return result
}
