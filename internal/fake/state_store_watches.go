package fake

import (
	"sort"
	"strings"

	"pipitgap/internal/protocol"
)

// historyEntry is a change that the store keeps for watches.
type historyEntry struct {
	revision uint64
	event    protocol.Event
}

// watch is a blocked watch call: it has no answer until a key below its prefix changes or MaxBlock passes.
type watch struct {
	caller   string
	call     *protocol.StoreCall
	callback func(protocol.StoreResult)
	answered bool // it has an answer, or its caller waits for none any more
}

// handleWatch answers a watch immediately if there are changes since its revision. Otherwise the watch blocks
// until the next change, or for MaxBlock at most; then its answer contains no changes. During an outage, or
// while the store refuses its caller, it gets no answer.
func (s *StateStore) handleWatch(caller string, call *protocol.StoreCall, answer func(protocol.StoreResult)) {
	waiting := &watch{caller: caller, call: call, callback: answer}
	if s.answerWatch(waiting, false) {
		return
	}
	s.watches = append(s.watches, waiting)
	s.Clock.After(call.Timeout, func() { waiting.answered = true }) // the caller has given up
	s.Clock.After(call.MaxBlock, func() {
		if !s.Down {
			s.answerWatch(waiting, true)
		}
	})
}

// answerWatch answers a watch if its revision has been compacted or there are changes for it; with force it
// answers even without changes. It reports whether the watch has an answer, from this call or an earlier one.
func (s *StateStore) answerWatch(waiting *watch, force bool) bool {
	if waiting.answered {
		return true
	}
	if s.RefusedCallers[waiting.caller] {
		return false
	}
	if waiting.call.FromRevision < s.compactedRevision {
		waiting.answered = true
		waiting.callback(protocol.StoreResult{Outcome: protocol.Compacted})
		return true
	}
	events := s.eventsAfter(waiting.call.FromRevision, waiting.call.Key)
	if len(events) == 0 && !force {
		return false
	}
	waiting.answered = true
	s.LargestWatchReply = max(s.LargestWatchReply, len(events))
	waiting.callback(protocol.StoreResult{Outcome: protocol.OK, Revision: s.Revision, Events: events})
	return true
}

// eventsAfter lists the changes after a revision to keys with a prefix.
func (s *StateStore) eventsAfter(revision uint64, prefix string) []protocol.Event {
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].revision > revision })
	var events []protocol.Event
	for _, entry := range s.history[first:] {
		if strings.HasPrefix(entry.event.Put+entry.event.Delete, prefix) {
			events = append(events, entry.event)
		}
	}
	return events
}

// answerWatches answers the blocked watches that have changes to report. During an outage it answers none.
func (s *StateStore) answerWatches() {
	s.compact()
	if s.Down {
		return
	}
	var unanswered []*watch
	for _, waiting := range s.watches {
		if !s.answerWatch(waiting, false) {
			unanswered = append(unanswered, waiting)
		}
	}
	s.watches = unanswered
}

// compact drops the oldest changes if there are more than WatchHistory.
func (s *StateStore) compact() {
	if len(s.history) <= s.WatchHistory {
		return
	}
	drop := len(s.history) - s.WatchHistory
	s.compactedRevision = s.history[drop-1].revision
	s.history = s.history[drop:]
}
