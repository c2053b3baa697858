package protocol

import (
	"fmt"
	"net/url"

	"pipitgap/internal/monotime"
	"pipitgap/internal/transport"
)

// machinesPerPage bounds a page of a list of machines.
const machinesPerPage = 500

// NoCapacityReason is the cloud's reason for a request that an offer has no machines for.
const NoCapacityReason = "no capacity"

// CloudOp names a call of the cloud.
type CloudOp int

// Calls of the cloud.
const (
	CloudCatalog CloudOp = iota
	CloudCreateMachines
	CloudDelete
	CloudList
)

// CloudCall is one call of the cloud.
type CloudCall struct {
	Op      CloudOp
	Create  CreateMachinesRequest
	Delete  []string // machines
	After   string   // list: the machine after which it continues
	Timeout monotime.Micros
}

// CloudResult answers it.
type CloudResult struct {
	Outcome Outcome
	Types   []MachineType // of the catalog
	Created []string      // machines
	Listed  []ListedMachine
	More    bool // further pages of the list follow
}

// CallCloud performs a call of the cloud and waits for it.
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

// exchangeWithCloud sends a request to the cloud and decodes the body of an answer.
func exchangeWithCloud(client *transport.Client, request wireRequest, out any) Outcome {
	message, outcome := send(client, request)
	if outcome == OK && Unmarshal(message.Body, out) != nil {
		return Unknown
	}
	return outcome
}

// resultUnlessUnknown leaves out what was decoded of an answer that can't be read as a whole.
func resultUnlessUnknown(result CloudResult) CloudResult {
	if result.Outcome == Unknown {
		return CloudResult{}
	}
	return result
}

// callCreateMachines requests machines of one offer.
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
		// Only "no capacity" is an answer about the offer. Any other 503 is a failure of the cloud itself and
		// says nothing about it.
		var reason ErrorBody
		if Unmarshal(message.Body, &reason) == nil && reason.Error == NoCapacityReason {
			outcome = NoCapacity
		}
	}
	return CloudResult{Outcome: outcome}
}

// callListMachines reads a page of the list of machines.
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
