// Package apiserver serves look-ups and requests of callers, and the status
// pages of operators, over HTTP. It holds no state of its own.
package apiserver

// LookupAnswer is the answer to GET /v1/lookup.
type LookupAnswer struct {
	Service string `json:"service"`
	Region  string `json:"region"`
	// AgeMs is the time after which to ask again, in milliseconds.
	AgeMs int64        `json:"age_ms"`
	Hosts []LookupHost `json:"hosts"`
}

// LookupHost is one entry host of a LookupAnswer, in order of preference.
type LookupHost struct {
	Name             string `json:"name"`
	Address          string `json:"address"`
	Region           string `json:"region"`
	AvailabilityZone string `json:"availability_zone"`
}

// Status is the answer to GET /v1/status: what one host knows.
type Status struct {
	Host     string            `json:"host"`
	Ready    bool              `json:"ready"`
	Versions map[string]uint64 `json:"versions"`
	Hosts    []StatusHost      `json:"hosts"`
	Metrics  map[string]int64  `json:"metrics"`
}

// StatusHost is one live host of a Status.
type StatusHost struct {
	Name             string `json:"name"`
	Region           string `json:"region"`
	AvailabilityZone string `json:"availability_zone"`
	Address          string `json:"address"`
	Leaving          bool   `json:"leaving"`
	// Versions are the versions of the documents in force on the host, by kind.
	Versions map[string]uint64 `json:"versions"`
}

// Error is the body of an error answer.
type Error struct {
	Error string `json:"error"`
}
