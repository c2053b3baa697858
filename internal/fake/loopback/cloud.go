package loopback

import (
	"net/http"

	"pipitgap/internal/fake"
	"pipitgap/internal/protocol"
)

// cloudHandler serves the API of a fake cloud over HTTP.
type cloudHandler struct {
	clock *RealTimeClock
	cloud *fake.Cloud
}

func (h *cloudHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	call, ok := parseCloudCall(r)
	if !ok {
		writeMessage(w, http.StatusBadRequest, &protocol.ErrorBody{Error: "malformed"})
		return
	}
	answerCall(h.clock, w, r, func(callback func(protocol.CloudResult)) { h.cloud.Call(call, callback) },
		func(result *protocol.CloudResult) (int, any) { return cloudResponse(call, result) })
}

// methodAndPath identifies the operation of a request.
type methodAndPath struct{ method, path string }

// parseCloudCall decodes a request into a call. It returns false if the request is malformed.
func parseCloudCall(r *http.Request) (*protocol.CloudCall, bool) {
	call := &protocol.CloudCall{Timeout: noTimeout}
	switch (methodAndPath{r.Method, r.URL.Path}) {
	case methodAndPath{"GET", protocol.CatalogPath}:
		call.Op = protocol.CloudCatalog
		return call, true
	case methodAndPath{"GET", protocol.MachinesPath}:
		call.Op, call.After = protocol.CloudList, r.URL.Query().Get("from")
		return call, true
	case methodAndPath{"POST", protocol.MachinesPath}:
		call.Op = protocol.CloudCreateMachines
		return call, readMessage(r, &call.Create)
	case methodAndPath{"POST", protocol.DeleteMachinesPath}:
		var request protocol.DeleteMachinesRequest
		call.Op = protocol.CloudDelete
		ok := readMessage(r, &request)
		call.Delete = request.Machines
		return call, ok
	}
	return nil, false
}

// cloudResponse returns the HTTP status and body that encode the result of a call.
func cloudResponse(call *protocol.CloudCall, result *protocol.CloudResult) (status int, body any) {
	switch result.Outcome {
	case protocol.NoCapacity:
		return http.StatusServiceUnavailable, &protocol.ErrorBody{Error: protocol.NoCapacityReason}
	case protocol.Unavailable:
		return http.StatusServiceUnavailable, &protocol.ErrorBody{Error: "trouble"}
	case protocol.OK:
	default:
		return httpStatus[result.Outcome], nil
	}
	switch call.Op {
	case protocol.CloudCatalog:
		return http.StatusOK, &protocol.Catalog{Types: result.Types}
	case protocol.CloudCreateMachines:
		return http.StatusOK, &protocol.CreateMachinesReply{Machines: result.Created}
	case protocol.CloudList:
		return http.StatusOK, &protocol.MachineList{Machines: result.Listed, More: result.More}
	}
	return http.StatusOK, nil
}
