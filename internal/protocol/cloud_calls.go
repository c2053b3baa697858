package protocol

import (
	"fmt"
	"net/url"

	"pipitgap/internal/monotime"
	"pipitgap/internal/transport"
)

// machinesPerPage is the maximum number of machines on a page of the machine list.
const machinesPerPage = 500

// NoCapacityReason is the cloud's reason for rejecting a request whose offer has no machines left.
const NoCapacityReason = "no capacity"

// CloudOp is an operation of the cloud's API.
type CloudOp int

// Operations of the cloud's API.
const (
	CloudCatalog CloudOp = iota
	CloudCreateMachines
	CloudDelete
	CloudList
)

// CloudCall is one call to the cloud.
type CloudCall struct {
	Op      CloudOp
	Create  CreateMachinesRequest
	Delete  []string // delete: machine IDs
	After   string   // list: the page starts after this machine; "": at the first machine
	Timeout monotime.Micros
}

// CloudResult is the result of a CloudCall.
type CloudResult struct {
	Outcome Outcome
	Types   []MachineType // catalog: all machine types
	Created []string      // create: machine IDs
	Listed  []ListedMachine
	More    bool // list: more pages follow
}

// CallCloud sends a call to the cloud and waits for the result.
func CallCloud(client *transport.Client, call *CloudCall) CloudResult {
	switch call.Op {
	case CloudCatalog:
		var catalog Catalog
		request := wireRequest{method: "GET", target: CatalogPath, timeout: call.Timeout}
		outcome := exchangeWithCloud(client, request, &catalog)
		return resultUnlessUnknown(CloudResult{Outcome: outcome, Types: catalog.Types})
	case CloudCreateMachines:
		return callCreateMachines(client, call)
	case CloudDelete:
		body := MustMarshal(&DeleteMachinesRequest{Machines: call.Delete})
		_, outcome := send(client, wireRequest{
			method: "POST", target: DeleteMachinesPath, body: body, timeout: call.Timeout,
		})
		return CloudResult{Outcome: outcome}
	case CloudList:
		return callListMachines(client, call)
	}
	return CloudResult{}
}

// exchangeWithCloud sends a request to the cloud and decodes the body of an OK response. The outcome is
// Unknown if the body can't be decoded.
func exchangeWithCloud(client *transport.Client, request wireRequest, out any) Outcome {
	message, outcome := send(client, request)
	if outcome == OK && Unmarshal(message.Body, out) != nil {
		return Unknown
	}
	return outcome
}

// resultUnlessUnknown returns an empty result if the outcome is Unknown, since a response that failed to
// decode may have filled in some of the fields.
func resultUnlessUnknown(result CloudResult) CloudResult {
	if result.Outcome == Unknown {
		return CloudResult{}
	}
	return result
}

// callCreateMachines requests new machines of one offer.
func callCreateMachines(client *transport.Client, call *CloudCall) CloudResult {
	message, outcome := send(client, wireRequest{
		method: "POST", target: MachinesPath, body: MustMarshal(&call.Create), timeout: call.Timeout,
	})
	switch outcome {
	case OK:
		var reply CreateMachinesReply
		if Unmarshal(message.Body, &reply) != nil {
			return CloudResult{}
		}
		return CloudResult{Outcome: OK, Created: reply.Machines}
	case Unavailable:
		// A 503 describes the offer only if its reason is "no capacity". Any other 503 is a failure of the
		// cloud itself and says nothing about the offer.
		var reason ErrorBody
		if Unmarshal(message.Body, &reason) == nil && reason.Error == NoCapacityReason {
			outcome = NoCapacity
		}
	}
	return CloudResult{Outcome: outcome}
}

// callListMachines reads one page of the machine list.
func callListMachines(client *transport.Client, call *CloudCall) CloudResult {
	target := fmt.Sprintf("%s?limit=%d", MachinesPath, machinesPerPage)
	if call.After != "" {
		target += "&from=" + url.QueryEscape(call.After)
	}
	var list MachineList
	outcome := exchangeWithCloud(
		client,
		wireRequest{method: "GET", target: target, timeout: call.Timeout},
		&list,
	)
	return resultUnlessUnknown(CloudResult{Outcome: outcome, Listed: list.Machines, More: list.More})
}
