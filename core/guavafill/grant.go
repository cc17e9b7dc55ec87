// Package guavafill limits the batch streams on backend servers, so that batch work uses the capacity that online
// traffic leaves.
package guavafill

// Grant is the maximum number of batch streams on a backend server.
type Grant struct {
	Server  string
	Streams int
}
