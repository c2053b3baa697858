package protocol

import (
	"fmt"
	"net/url"
	"strconv"

	"pipitgap/internal/micros"
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
	TooOld              // 410: the watch has fallen behind
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
	StoreGrant
	StoreTouch
	StoreWatch
)

// StoreCall is one call of the state service.
type StoreCall struct {
	Op     StoreOp
	Key    string // get, list and watch: the key or prefix
	After  string
	Limit  int
	Txn    Txn
	Lease  uint64
	TTL    micros.T
	From   uint64
	Block  micros.T
	Within micros.T // deadline
}

// Writes tells how many puts and deletes a call is counted for.
func (c *StoreCall) Writes() int { return len(c.Txn.Then) }

// StoreResult answers it.
type StoreResult struct {
	Outcome  Outcome
	Item     Item
	Items    []Item
	More     bool
	Revision uint64
	Failed   []string
	Lease    uint64
	Events   []Event
}

func outcomeOf(m *transport.Message, err error) Outcome {
	if err != nil {
		return Unknown
	}
	switch m.Status {
	case 200, 201, 204:
		return OK
	case 400:
		return Rejected
	case 404:
		return NotFound
	case 409:
		return Conflict
	case 410:
		return TooOld
	case 429:
		return Throttled
	case 503:
		return Unavailable
	}
	return Unknown
}

// CallStore performs a call of the state service and waits for it.
func CallStore(cl *transport.Client, c *StoreCall) StoreResult {
	var m *transport.Message
	var err error
	var out any
	var txn TxnReply
	var list ItemList
	var watch WatchReply
	var grant LeaseReply
	var item Item
	switch c.Op {
	case StoreGet:
		out = &item
		m, err = cl.Do("GET", "/kv/"+c.Key, nil, c.Within)
	case StoreList:
		out = &list
		t := "/kv?under=" + c.Key + "&limit=" + strconv.Itoa(c.Limit)
		if c.After != "" {
			t += "&from=" + c.After
		}
		m, err = cl.Do("GET", t, nil, c.Within)
	case StoreCommit:
		out = &txn
		if c.Txn.If == nil {
			c.Txn.If = []Cond{}
		}
		m, err = cl.Do("POST", "/commit", MustMarshal(&c.Txn), c.Within)
	case StoreGrant:
		out = &grant
		m, err = cl.Do("POST", "/leases", MustMarshal(&LeaseRequest{TTLMillis: c.TTL.Millis()}), c.Within)
	case StoreTouch:
		m, err = cl.Do("POST", fmt.Sprintf("/leases/%d/touch", c.Lease), nil, c.Within)
	case StoreWatch:
		out = &watch
		t := fmt.Sprintf("/watch?under=%s&from=%d&block_ms=%d", c.Key, c.From, c.Block.Millis())
		m, err = cl.Do("GET", t, nil, c.Within)
	}
	r := StoreResult{Outcome: outcomeOf(m, err)}
	wanted := r.Outcome == OK || r.Outcome == Conflict
	if wanted && out != nil {
		// Garbage in a 200 proves nothing: the outcome is unknown.
		if Unmarshal(m.Body, out) != nil {
			return StoreResult{}
		}
	}
	switch c.Op {
	case StoreGet:
		r.Item = item
		if r.Outcome == OK && item.Version == 0 {
			return StoreResult{}
		}
	case StoreList:
		r.Items, r.More, r.Revision = list.Items, list.More, list.Revision
	case StoreCommit:
		r.Revision, r.Failed = txn.Revision, txn.Failed
		if r.Outcome == OK && txn.Revision == 0 || r.Outcome == NotFound {
			return StoreResult{}
		}
	case StoreGrant:
		r.Lease = grant.Lease
		if r.Outcome == OK && grant.Lease == 0 {
			return StoreResult{}
		}
	case StoreWatch:
		r.Events, r.Revision = watch.Events, watch.Revision
	}
	return r
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
	Op     CloudOp
	Rent   RentRequest
	Delete []string
	After  string
	Within micros.T
}

// CloudResult answers it.
type CloudResult struct {
	Outcome Outcome
	Types   []MachineType
	Rented  []string
	Listed  []Listed
	More    bool
}

// CallCloud performs a call of the cloud and waits for it.
func CallCloud(cl *transport.Client, c *CloudCall) CloudResult {
	var m *transport.Message
	var err error
	var cat Catalog
	var rent RentReply
	var list MachineList
	var out any
	switch c.Op {
	case CloudCatalog:
		out = &cat
		m, err = cl.Do("GET", "/catalog", nil, c.Within)
	case CloudRent:
		out = &rent
		m, err = cl.Do("POST", "/rentals", MustMarshal(&c.Rent), c.Within)
	case CloudDelete:
		m, err = cl.Do("POST", "/rentals/delete", MustMarshal(&DeleteRequest{Machines: c.Delete}), c.Within)
	case CloudList:
		out = &list
		t := "/rentals?limit=500"
		if c.After != "" {
			t += "&from=" + url.QueryEscape(c.After)
		}
		m, err = cl.Do("GET", t, nil, c.Within)
	}
	r := CloudResult{Outcome: outcomeOf(m, err)}
	if r.Outcome == OK && out != nil && Unmarshal(m.Body, out) != nil {
		return CloudResult{}
	}
	if r.Outcome == Unavailable && c.Op == CloudRent {
		// Only "no capacity" is an answer about the offer. Any other 503 is the
		// cloud's own trouble and says nothing about it.
		var e ErrorBody
		if Unmarshal(m.Body, &e) == nil && e.Error == "no capacity" {
			r.Outcome = NoCapacity
		}
	}
	r.Types, r.Rented, r.Listed, r.More = cat.Types, rent.Machines, list.Machines, list.More
	return r
}

// DoResult answers a direct command batch. With Status 200 or 409 it carries
// the worker's report; 0 means that there was no usable response.
type DoResult struct {
	Status int
	Report Report
}

// CallWorker sends a command batch to a worker; without one it only asks for the
// worker's report.
func CallWorker(cl *transport.Client, req *DoRequest, within micros.T) DoResult {
	var m *transport.Message
	var err error
	if req == nil {
		m, err = cl.Do("GET", "/show", nil, within)
	} else {
		m, err = cl.Do("POST", "/do", MustMarshal(req), within)
	}
	if err != nil || m.Status != 200 && m.Status != 409 {
		return DoResult{}
	}
	r := DoResult{Status: m.Status}
	if Unmarshal(m.Body, &r.Report) != nil {
		return DoResult{}
	}
	return r
}
