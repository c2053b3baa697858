package coordination

import (
	"pipitgap/internal/catalog"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storeclient"
)

// stateService is the interface to the state service that most other components use. The client limits the
// rate of calls. Commits go through the replica, which also applies them to the mirror.
type stateService struct {
	*storeclient.Client
	*mirror.Replica
}

// newStoreClient creates the client of the state service.
func newStoreClient(c *Controller) *storeclient.Client {
	limits := c.cfg.Facts.State
	return storeclient.New(storeclient.Options{
		Limits: storeclient.Limits{
			RequestsPerSecond: limits.RPS,
			WritesPerSecond:   limits.WriteRPS,
			TransactionOps:    limits.TxnOps,
		},
		Controllers:          len(c.controllers),
		Environment:          c.env,
		Log:                  c.log,
		UserCallsWaitAtPeers: func(now monotime.Micros) bool { return c.peerStatuses.UserCallsWaiting(now) },
	})
}

// newReplica creates the replica, which keeps the mirror up to date.
func newReplica(c *Controller) *mirror.Replica {
	return mirror.NewReplica(mirror.ReplicaOptions{
		Mirror:          c.mirror,
		Store:           c.store,
		Environment:     c.env,
		Observer:        replicaObserver{c},
		Pauses:          c.pauses,
		Log:             c.log,
		Drains:          c.settings.Drains != nil,
		WritesPerSecond: c.cfg.Facts.State.WriteRPS,
		MaxValueBytes:   c.maxValueBytes(),
		TransactionOps:  c.cfg.Facts.State.TxnOps,
	})
}

// replicaObserver implements mirror.Observer. It notifies the other components of changes in the replica's
// state.
type replicaObserver struct{ c *Controller }

func (o replicaObserver) BeforeReplace(loaded *mirror.Mirror) { o.c.agents.RetainMachinesOf(loaded) }

func (o replicaObserver) Replaced() {
	o.c.cancellations.Reconcile()
	for _, name := range sortedmap.Keys(o.c.mirror.Shards) {
		o.c.shards.HandleShardChange(name)
	}
}

func (o replicaObserver) Ready() {
	o.c.catalog.SetStoredTypes(o.c.mirror.Catalog())
	o.c.scheduler.RequestPass()
	o.c.nextSlowTickAt = 0
}

func (o replicaObserver) Changed() { o.c.runFastTick(o.c.now()) }

// newCatalog creates the catalog of the machine types that the cloud offers.
func newCatalog(c *Controller) *catalog.Catalog {
	return catalog.New(catalog.Options{
		Environment:       c.env,
		RequestsPerSecond: c.cfg.Facts.Cloud.RPS,
		Changed:           func() { c.scheduler.RequestPass() },
	})
}
