// Package coordination is the controller: one actor that receives messages of users, workers, the state
// service, the cloud and the other controllers, and gives each to the subject that owns the state concerned.
// See Controller.
package coordination
