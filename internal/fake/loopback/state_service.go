package loopback

import (
	"net/http"
	"strconv"
	"testing"

	"pipitgap/internal/fake"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
)

// stateHandler serves the API of a fake state service over HTTP to one caller.
type stateHandler struct {
	clock  *RealTimeClock
	store  *fake.StateStore
	caller string
}

// ServeState serves a fake state service on loopback until the test ends, and returns its address.
func ServeState(t testing.TB, sim *fake.SimClock, store *fake.StateStore) string {
	t.Helper()
	const caller = "operator"
	clock := NewRealTimeClock(sim)
	server, err := newServer(caller, &stateHandler{clock, store, caller}, &faultInjector{})
	if err != nil {
		clock.Stop()
		t.Fatal(err)
	}
	t.Cleanup(func() { server.Close(); clock.Stop() })
	return server.Addr
}

// noTimeout exceeds every timeout of the callers, so that the callers' own deadlines take effect.
const noTimeout = 10 * monotime.Minute

func (h *stateHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	call, ok := parseStateCall(r)
	if !ok {
		writeMessage(w, http.StatusBadRequest, &protocol.ErrorBody{Error: "malformed"})
		return
	}
	answerCall(h.clock, w, r, func(callback func(protocol.StoreResult)) { h.store.Call(h.caller, call, callback) },
		func(result *protocol.StoreResult) (int, any) { return stateResponse(call, result) })
}

// parseStateCall decodes a request into a call. It returns false if the request is malformed.
func parseStateCall(r *http.Request) (*protocol.StoreCall, bool) {
	call := &protocol.StoreCall{Timeout: noTimeout}
	query := r.URL.Query()
	path := r.URL.Path
	key, isKey := protocol.ParseKeyPath(path)
	lease, isKeepAlive := protocol.ParseKeepAlivePath(path)
	switch {
	case r.Method == "GET" && path == protocol.KeysPath:
		call.Op, call.Key, call.After = protocol.StoreList, query.Get("under"), query.Get("from")
		limit, err := strconv.Atoi(query.Get("limit"))
		call.Limit = limit
		return call, err == nil && limit > 0
	case r.Method == "GET" && isKey:
		call.Op, call.Key = protocol.StoreGet, key
		return call, key != ""
	case r.Method == "POST" && path == protocol.CommitPath:
		call.Op = protocol.StoreCommit
		return call, readMessage(r, &call.Transaction)
	case r.Method == "POST" && path == protocol.LeasesPath:
		var request protocol.LeaseRequest
		call.Op = protocol.StoreGrantLease
		ok := readMessage(r, &request)
		call.TTL = monotime.Micros(request.TTLMillis) * monotime.Millisecond
		return call, ok && request.TTLMillis >= 100
	case r.Method == "POST" && isKeepAlive:
		id, err := strconv.ParseUint(lease, 10, 64)
		call.Op, call.Lease = protocol.StoreKeepAlive, id
		return call, err == nil
	case r.Method == "GET" && path == protocol.WatchPath:
		from, err := strconv.ParseUint(query.Get("from"), 10, 64)
		block, _ := strconv.ParseInt(query.Get("block_ms"), 10, 64)
		call.Op, call.Key, call.FromRevision = protocol.StoreWatch, query.Get("under"), from
		call.MaxBlock = monotime.Micros(block) * monotime.Millisecond
		return call, err == nil
	}
	return nil, false
}

// httpStatus maps the outcomes of calls to the HTTP statuses of the responses.
var httpStatus = map[protocol.Outcome]int{
	protocol.OK:          http.StatusOK,
	protocol.Conflict:    http.StatusConflict,
	protocol.NotFound:    http.StatusNotFound,
	protocol.Compacted:   http.StatusGone,
	protocol.Rejected:    http.StatusBadRequest,
	protocol.Throttled:   http.StatusTooManyRequests,
	protocol.Unavailable: http.StatusServiceUnavailable,
}

// stateResponse returns the HTTP status and body that encode the result of a call.
func stateResponse(call *protocol.StoreCall, result *protocol.StoreResult) (status int, body any) {
	status = httpStatus[result.Outcome]
	if result.Outcome != protocol.OK && result.Outcome != protocol.Conflict {
		return status, &protocol.ErrorBody{Error: result.Outcome.String()}
	}
	switch call.Op {
	case protocol.StoreGet:
		return status, &result.Item
	case protocol.StoreList:
		return status, &protocol.KeyValueList{
			Items:    result.Items,
			More:     result.More,
			Revision: result.Revision,
		}
	case protocol.StoreCommit:
		return status, &protocol.TransactionReply{Revision: result.Revision, Failed: result.Failed}
	case protocol.StoreGrantLease:
		return status, &protocol.LeaseReply{Lease: result.Lease}
	case protocol.StoreWatch:
		return status, &protocol.WatchReply{Revision: result.Revision, Events: result.Events}
	}
	return status, nil
}
