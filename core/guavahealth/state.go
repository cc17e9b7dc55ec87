// Package guavahealth detects failing backend servers and ejects them from their pools for a limited time (outlier
// ejection). At most a third of a pool is ejected at a time, and a server's share of traffic grows gradually
// afterwards.
package guavahealth

import (
	_ "embed" // the state chart

	"guavaridge/core/guavachart"
)

// State is the health of a backend server.
type State string

// The states of a server.
const (
	Healthy State = "healthy"
	// Suspect means that an attempt has failed recently. The server still gets all of its traffic.
	Suspect State = "suspect"
	// Ejected means that the server gets no traffic while another server is available.
	Ejected State = "ejected"
	// Probation means that the server has been ejected and gets a growing share of its traffic.
	Probation State = "probation"
)

// event triggers a transition between states.
type event string

const (
	eventFault event = "fault"
	eventClear event = "clear"
	eventEject event = "eject"
	eventRetry event = "retry"
)

//go:embed health.json
var chartJSON []byte

var chart = guavachart.MustNew[State, event](chartJSON)
