package coordination

import (
	"pipitgap/internal/monotime"
	"pipitgap/internal/storeclient"
)

// newStoreClient makes the client of the state service.
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
