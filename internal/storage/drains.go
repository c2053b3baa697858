package storage

// DrainState is the state of a drain.
type DrainState string

// States of a drain. An unfinished drain cordons the machines that it selects: they receive no new tasks. If
// it selects by zone, machine type or capacity type, without LastMachine, the matching offers are not used to
// scale out either.
const (
	DrainActive DrainState = "active" // machines are being emptied and deleted
	DrainPaused DrainState = "paused" // no further step begins
	// DrainDrained: no selected machine exists any more. Until the drain is aborted, it keeps cordoning
	// machines that match its selector and closing the matching offers.
	DrainDrained DrainState = "drained"
	DrainDone    DrainState = "done"    // no selected machine exists any more, and nothing is cordoned
	DrainAborted DrainState = "aborted" // the machines that were not deleted receive tasks again
)

// Unfinished reports whether a drain in this state still has an effect: it cordons machines and may close
// offers.
func (s DrainState) Unfinished() bool {
	return s == DrainActive || s == DrainPaused || s == DrainDrained
}

// Drain is the record of KindDrain: machines that operators take out of service. The operators' commands
// write it. The leader also writes it when the drain ends or its deadline passes.
type Drain struct {
	State    DrainState `msgpack:"s"`
	Reason   string     `msgpack:"r,omitempty"` // reason for the state, shown to operators
	Selector Selector   `msgpack:"w"`
	// LastMachine, if set, is the id of the newest machine that belongs to the drain. Machines that are
	// created later do not belong to it, even if the selector matches them. Without LastMachine, the offers
	// that a selector without listed machines matches are not used to scale out.
	LastMachine       string `msgpack:"t,omitempty"`
	Replace           bool   `msgpack:"p,omitempty"` // add replacement capacity before emptying machines
	DeleteImmediately bool   `msgpack:"o,omitempty"` // delete empty machines without the scale-in delay
	MaxParallel       int    `msgpack:"n"`           // maximum number of machines being emptied at a time
	StartedAt         int64  `msgpack:"b"`           // time of day, microseconds
	DeadlineAt        int64  `msgpack:"d,omitempty"` // time of day, microseconds: no step begins later; 0: none
	EndedAt           int64  `msgpack:"e,omitempty"` // time of day, microseconds; 0: the drain has not ended
}

// ClosesOffers reports whether an unfinished drain prevents scale-out with the offers that its selector
// matches.
func (d *Drain) ClosesOffers() bool { return d.LastMachine == "" && len(d.Selector.Machines) == 0 }

// Selector selects the machines of a drain: either the machines listed in Machines, or all machines that
// match Zone, Type and CapacityType. An empty field matches everything.
type Selector struct {
	Machines     []string     `msgpack:"m,omitempty"`
	Zone         string       `msgpack:"z,omitempty"`
	Type         string       `msgpack:"y,omitempty"`
	CapacityType CapacityType `msgpack:"k,omitempty"`
}

// CapacityType distinguishes spot instances from on-demand machines.
type CapacityType string

// Capacity types. AnyCapacity selects both spot and on-demand machines.
const (
	AnyCapacity      CapacityType = ""
	SpotCapacity     CapacityType = "spot"
	OnDemandCapacity CapacityType = "ordinary"
)

// CapacityTypeOf returns the capacity type of a machine; spot tells whether it is a spot instance.
func CapacityTypeOf(spot bool) CapacityType {
	if spot {
		return SpotCapacity
	}
	return OnDemandCapacity
}

// Permits is the record of KindPermits: the permits for all planned evictions of a team's replicas whose
// replacements aren't known to be running yet. Each change is conditional on the record's version.
type Permits struct {
	Permits []Permit `msgpack:"p"`
}

// Permit allows a drain to stop one attempt of a replica.
type Permit struct {
	//lint:ignore U1000 the msgpack library reads it through reflection
	_msgpack  struct{} `msgpack:",as_array"`
	Drain     string
	Job       string
	Task      int
	Attempt   uint64
	From      string // the machine on which the attempt is stopped
	To        string // the machine on which resources are reserved for the next attempt
	GrantedAt int64  // time of day, microseconds
}

// PermitBytes is the maximum encoded size of a permit in bytes, without the names that it contains.
const PermitBytes = 60
