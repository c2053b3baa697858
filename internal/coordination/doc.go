// Package coordination implements the controller: a single actor that receives messages from users, workers,
// the state service, the cloud and the other controllers, and dispatches each to the component that owns the
// affected state. See Controller.
package coordination
