// Package apiserver serves look-ups and requests of callers, and the status pages for
// operators, over HTTP. It keeps no control state.
package apiserver

// LookupAnswer is the answer to GET /v1/lookup.
type LookupAnswer struct {
	Service string `json:"service"`
	Region  string `json:"region"`
	// TTLMs is the TTL of the answer, in milliseconds.
	TTLMs int64        `json:"age_ms"`
	Hosts []LookupHost `json:"hosts"`
}

// LookupHost is one entry host of a LookupAnswer, in order of preference.
type LookupHost struct {
	Name             string `json:"name"`
	Address          string `json:"address"`
	Region           string `json:"region"`
	AvailabilityZone string `json:"availability_zone"`
}

// Status is the answer to GET /v1/status: one host's view of the fleet.
type Status struct {
	Host     string            `json:"host"`
	Ready    bool              `json:"ready"`
	Versions map[string]uint64 `json:"versions"`
	Store    StatusStore       `json:"store"`
	Hosts    []StatusHost      `json:"hosts"`
	// Pools holds the slots of each region and service, summed over their owners.
	Pools []StatusPool `json:"pools"`
	// Workspaces holds the requests that the queried host admitted and refused since
	// its start.
	Workspaces []StatusWorkspace `json:"workspaces"`
	// Share is the queried host's share of the fleet-wide rates.
	Share   StatusShare      `json:"share"`
	Metrics map[string]int64 `json:"metrics"`
}

// StatusStore counts the queried host's calls to the platform's object API since its
// start.
type StatusStore struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
	// ReadsPerSecond and WritesPerSecond are averages since the start.
	ReadsPerSecond  float64 `json:"reads_per_second"`
	WritesPerSecond float64 `json:"writes_per_second"`
}

// StatusShare is the queried host's share of the fleet-wide rates.
type StatusShare struct {
	// Slots is the number of share slots, of 120, that the host may use.
	Slots int `json:"slots"`
	// LeaseRemainingMs is the remaining time of the share lease, or -1 for a lease
	// without an end.
	LeaseRemainingMs int64 `json:"lease_left_ms"`
	// LedgerVersion is the version of the share ledger that the host has read.
	LedgerVersion uint64 `json:"ledger_version"`
}

// StatusHost is one live host of a Status.
type StatusHost struct {
	Name             string `json:"name"`
	Region           string `json:"region"`
	AvailabilityZone string `json:"availability_zone"`
	Address          string `json:"address"`
	OperatorAddress  string `json:"operator_address"`
	Leaving          bool   `json:"leaving"`
	// Versions holds the current document versions of the host, by kind.
	Versions map[string]uint64 `json:"versions"`
	// ReportAgeMs is the age of the host's last report, in milliseconds.
	ReportAgeMs int64 `json:"age_ms"`
}

// StatusPool is the slots and load of a service in a region.
type StatusPool struct {
	Region  string `json:"region"`
	Service string `json:"service"`
	Slots   uint32 `json:"slots"`
	InUse   uint32 `json:"in_use"`
	Queued  uint32 `json:"queued"`
	// CapacityPerSecond is the slots divided by the service time, or zero if no
	// service time is configured.
	CapacityPerSecond float64 `json:"capacity_per_second"`
}

// StatusWorkspace holds the limits of a workspace and the requests that a host admitted
// and refused.
type StatusWorkspace struct {
	Name      string  `json:"name"`
	RatePerS  float64 `json:"rate_per_s"`
	Burst     float64 `json:"burst"`
	Admitted  int64   `json:"admitted"`
	OverLimit int64   `json:"over_limit"`
}

// ErrorBody is the JSON body of an error.
type ErrorBody struct {
	Error string `json:"error"`
}
