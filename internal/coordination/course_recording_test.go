package coordination

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"hash"
	"io"
	"maps"
	"slices"
	"strings"

	"pipitgap/internal/peers"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"

	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
)

// recorder hashes one course, see courses_test.go, and counts its lines.
type recorder struct {
	sum   hash.Hash
	out   io.Writer
	lines int
}

func newRecorder(text io.Writer) *recorder {
	sum := sha256.New()
	return &recorder{sum: sum, out: io.MultiWriter(sum, text)}
}

// record adds everything that the controllers of a cluster send from now on to the course.
func (r *recorder) record(c *cluster) {
	c.wire = func(node, kind, text string) {
		r.lines++
		fmt.Fprintf(r.out, "%d %s %s %s\n", int64(c.sim.Now()), node, kind, text)
	}
}

// canonical renders MessagePack with the entries of each map sorted, because Go maps are encoded in their
// random iteration order, which has no meaning for the receiver. Everything else, such as the width of
// numbers, is rendered as on the wire.
func canonical(raw []byte) string {
	sorted, remaining, ok := sortMaps(raw)
	if !ok || len(remaining) > 0 {
		return fmt.Sprintf("%q", raw) // not MessagePack
	}
	return fmt.Sprintf("%q", sorted)
}

// sortMaps splits MessagePack bytes into the first value, in which it sorts all maps, and the remaining
// bytes. ok is false if the bytes do not begin with a value.
func sortMaps(raw []byte) (value, remaining []byte, ok bool) {
	dec := msgpack.NewDecoder(bytes.NewReader(raw))
	code, err := dec.PeekCode()
	if err != nil {
		return nil, nil, false
	}
	isMap := msgpcode.IsFixedMap(code) || code == msgpcode.Map16 || code == msgpcode.Map32
	isArray := msgpcode.IsFixedArray(code) || code == msgpcode.Array16 || code == msgpcode.Array32
	if !isMap && !isArray {
		scalar, err := dec.DecodeRaw()
		return scalar, raw[len(scalar):], err == nil
	}
	count, err := 0, error(nil)
	if isMap {
		count, err = dec.DecodeMapLen()
	} else {
		count, err = dec.DecodeArrayLen()
	}
	if err != nil {
		return nil, nil, false
	}
	headerSize := 1
	switch code {
	case msgpcode.Map16, msgpcode.Array16:
		headerSize = 3
	case msgpcode.Map32, msgpcode.Array32:
		headerSize = 5
	}
	remaining = raw[headerSize:]
	var entries [][]byte
	for range count {
		var entry, mapValue []byte
		if entry, remaining, ok = sortMaps(remaining); !ok {
			return nil, nil, false
		}
		if isMap {
			if mapValue, remaining, ok = sortMaps(remaining); !ok {
				return nil, nil, false
			}
		}
		entries = append(entries, slices.Concat(entry, mapValue))
	}
	if isMap {
		slices.SortFunc(entries, bytes.Compare)
	}
	return append(slices.Clone(raw[:headerSize]), slices.Concat(entries...)...), remaining, true
}

// wireStoreCall renders a call to the state service as protocol.CallStore sends it.
func wireStoreCall(c *protocol.StoreCall) string {
	text := "unknown"
	switch c.Op {
	case protocol.StoreGet:
		text = fmt.Sprintf("get %q", c.Key)
	case protocol.StoreList:
		text = fmt.Sprintf("list %q after %q limit %d", c.Key, c.After, c.Limit)
	case protocol.StoreCommit:
		txn := c.Transaction
		if txn.If == nil {
			txn.If = []protocol.Compare{}
		}
		text = "commit " + canonical(protocol.MustMarshal(&txn))
	case protocol.StoreGrantLease:
		text = fmt.Sprintf("grant %d", int64(c.TTL))
	case protocol.StoreKeepAlive:
		text = fmt.Sprintf("touch %d", c.Lease)
	case protocol.StoreWatch:
		text = fmt.Sprintf("watch %q from %d block %d", c.Key, c.FromRevision, int64(c.MaxBlock))
	}
	return fmt.Sprintf("%s within %d", text, int64(c.Timeout))
}

// wireCloudCall renders a call to the cloud as protocol.CallCloud sends it.
func wireCloudCall(c *protocol.CloudCall) string {
	text := "unknown"
	switch c.Op {
	case protocol.CloudCatalog:
		text = "catalog"
	case protocol.CloudCreateMachines:
		text = "rent " + canonical(protocol.MustMarshal(&c.Create))
	case protocol.CloudDelete:
		text = "delete " + canonical(
			protocol.MustMarshal(&protocol.DeleteMachinesRequest{Machines: c.Delete}),
		)
	case protocol.CloudList:
		text = fmt.Sprintf("list after %q", c.After)
	}
	return fmt.Sprintf("%s within %d", text, int64(c.Timeout))
}

// wireCommand renders a command batch, or a probe if req is nil.
func wireCommand(endpoint string, req *protocol.CommandRequest, timeout monotime.Micros) string {
	body := []byte("show")
	if req != nil {
		body = protocol.MustMarshal(req)
	}
	return fmt.Sprintf("%s %s within %d", endpoint, canonical(body), int64(timeout))
}

// wirePeerStatus renders a peer status, field by field.
func wirePeerStatus(status *peers.Status) string {
	var b strings.Builder
	fmt.Fprintf(
		&b,
		"%s %d store %t users %d reach %d",
		status.Node,
		status.Incarnation,
		status.StateServiceReachable,
		status.WaitingUserRequests,
		int(status.WorkerReach),
	)
	for _, job := range slices.Sorted(maps.Keys(status.FailingJobs)) {
		fmt.Fprintf(&b, " failing %s:%d", job, status.FailingJobs[job])
	}
	for _, team := range status.TeamsShortOfQuota {
		fmt.Fprintf(&b, " lacks %s", team)
	}
	cancellations := &status.Cancellations
	fmt.Fprintf(
		&b,
		" cancellations %d %d %d %d %d %t %d %d",
		cancellations.Incarnation,
		int64(cancellations.Clock),
		cancellations.EchoedIncarnation,
		int64(cancellations.EchoedClock),
		cancellations.MirrorRevision,
		cancellations.RecordsLoaded,
		cancellations.Round,
		cancellations.MessagesInRound,
	)
	for _, committed := range cancellations.Committed {
		fmt.Fprintf(&b, " %s:%d", committed.Job, committed.Revision)
	}
	return b.String()
}

// wireAnswer renders the response to a request of a user or a worker.
func wireAnswer(method, target string, response Response) string {
	return fmt.Sprintf(
		"%s %s %d retry %d %s",
		method,
		target,
		response.Status,
		response.RetryAfter,
		canonical(response.Body),
	)
}
