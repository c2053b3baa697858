package storage

// DrainState is the state of a drain.
type DrainState string

// States of a drain. An unfinished drain keeps new tasks off the machines that it selects, and the offers
// that it selects as a whole aren't used to scale out.
const (
	DrainActive DrainState = "active" // machines are being emptied and deleted
	DrainPaused DrainState = "paused" // no further step begins
	// nothing is left; what was selected stays cordoned until the drain is aborted
	DrainDrained DrainState = "drained"
	DrainDone    DrainState = "done"    // nothing is left, and nothing is cordoned any more
	DrainAborted DrainState = "aborted" // machines that weren't deleted are open again
)

// Unfinished reports whether a drain in this state still has an effect.
func (s DrainState) Unfinished() bool {
	return s == DrainActive || s == DrainPaused || s == DrainDrained
}

// Drain is the record of KindDrain: machines that operators take out of service. The operators' commands
// write it, and the leader when the drain has ended or its deadline has passed.
type Drain struct {
	State    DrainState `msgpack:"s"`
	Reason   string     `msgpack:"r,omitempty"` // why it is in this state, for operators
	Selector Selector   `msgpack:"w"`
	// LastMachine, if set, is the newest machine that belongs to the drain: machines created later may be of
	// the selected kind. Without it, the selected offers aren't used to scale out.
	LastMachine  string `msgpack:"t,omitempty"`
	Replace      bool   `msgpack:"p,omitempty"` // capacity is added before machines are emptied
	RemoveAtOnce bool   `msgpack:"o,omitempty"` // empty machines are deleted without a delay
	MaxParallel  int    `msgpack:"n"`           // machines being emptied at a time
	StartedAt    int64  `msgpack:"b"`           // time of day, microseconds
	DeadlineAt   int64  `msgpack:"d,omitempty"` // no step begins after it; 0: none
	EndedAt      int64  `msgpack:"e,omitempty"`
}

// ClosesOffers reports whether the offers that a drain selects aren't used to scale out while it lasts.
func (d *Drain) ClosesOffers() bool { return d.LastMachine == "" && len(d.Selector.Machines) == 0 }

// Selector says which machines a drain is about: those named, or those of a zone, a type and a capacity
// type, as far as they are given.
type Selector struct {
	Machines     []string     `msgpack:"m,omitempty"`
	Zone         string       `msgpack:"z,omitempty"`
	Type         string       `msgpack:"y,omitempty"`
	CapacityType CapacityType `msgpack:"k,omitempty"`
}

// CapacityType says whether a machine is a spot instance.
type CapacityType string

// Capacity types; AnyCapacity selects both.
const (
	AnyCapacity      CapacityType = ""
	SpotCapacity     CapacityType = "spot"
	OnDemandCapacity CapacityType = "ordinary"
)

// CapacityTypeOf returns the capacity type of a machine.
func CapacityTypeOf(spot bool) CapacityType {
	if spot {
		return SpotCapacity
	}
	return OnDemandCapacity
}

// Permits is the record of KindPermits: all planned evictions of a team's replicas whose replacements aren't
// known to be running yet. Each change is conditional on its version.
type Permits struct {
	Permits []Permit `msgpack:"p"`
}

// Permit is the right to stop one attempt for a drain.
type Permit struct {
	//lint:ignore U1000 the msgpack library reads it through reflection
	_msgpack  struct{} `msgpack:",as_array"`
	Drain     string
	Job       string
	Task      int
	Attempt   uint64
	From      string // the machine that it is stopped on
	To        string // the machine on which resources are reserved for the next attempt
	GrantedAt int64  // time of day, microseconds
}

// PermitBytes is what a permit takes in a record at most, in bytes, beside the names that it holds.
const PermitBytes = 60
