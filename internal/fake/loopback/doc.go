// Package loopback runs real controller processes on 127.0.0.1 against the fakes of package fake. The fakes
// of the state service, the cloud and the workers serve the protocol over HTTP; their simulation follows the
// wall clock. A test can kill, suspend and resume processes, and delay calls or reset their connections.
// Everything stops when the test ends, even if it fails.
package loopback
