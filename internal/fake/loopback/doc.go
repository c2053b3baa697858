// Package loopback runs real controller processes on 127.0.0.1 against the fakes of package fake: the state
// service, the cloud and the workers answer over HTTP as the protocol says, on the simulation's own logic
// driven by the wall clock. Processes can be killed, stopped and continued; calls can be delayed, held or
// reset. Everything ends with the test, also when it fails.
package loopback
