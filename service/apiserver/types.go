// Package apiserver serves look-ups and requests of callers, and the status
// pages of operators, over HTTP. It holds no state of its own.
package apiserver

// LookupAnswer is the answer to GET /v1/lookup.
type LookupAnswer struct {
	Service string `json:"service"`
	Region  string `json:"region"`
	// TTLMs is the time after which to ask again, in milliseconds.
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

// Status is the answer to GET /v1/status: what one host knows.
type Status struct {
	Host     string            `json:"host"`
	Ready    bool              `json:"ready"`
	Versions map[string]uint64 `json:"versions"`
	Store    StatusStore       `json:"store"`
	Hosts    []StatusHost      `json:"hosts"`
	// Pools are the slots of each region and service, summed over the owners.
	Pools []StatusPool `json:"pools"`
	// Workspaces counts what the asked host admitted and refused since it started.
	Workspaces []StatusWorkspace `json:"workspaces"`
	// Share is what the asked host holds.
	Share   StatusShare      `json:"share"`
	Metrics map[string]int64 `json:"metrics"`
}

// StatusStore is the asked host's use of the platform's object API since it started.
type StatusStore struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
	// ReadsPerSecond and WritesPerSecond are averages since the start.
	ReadsPerSecond  float64 `json:"reads_per_second"`
	WritesPerSecond float64 `json:"writes_per_second"`
}

// StatusShare is the part of the fleet-wide rates that the asked host holds.
type StatusShare struct {
	// Slots is the number of share slots that the host may use, of 120.
	Slots int `json:"slots"`
	// LeaseRemainingMs is the rest of the share lease; -1 means that it has no end.
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
	// Versions are the versions of the documents in force on the host, by kind.
	Versions map[string]uint64 `json:"versions"`
	// ReportAgeMs is the age of this news, in milliseconds.
	ReportAgeMs int64 `json:"age_ms"`
}

// StatusPool is the load of a service's slots in a region.
type StatusPool struct {
	Region  string `json:"region"`
	Service string `json:"service"`
	Slots   uint32 `json:"slots"`
	InUse   uint32 `json:"in_use"`
	Queued  uint32 `json:"queued"`
	// CapacityPerSecond is slots over the service time, zero when the time is not configured.
	CapacityPerSecond float64 `json:"capacity_per_second"`
}

// StatusWorkspace is what a host admitted and refused of a workspace.
type StatusWorkspace struct {
	Name      string  `json:"name"`
	RatePerS  float64 `json:"rate_per_s"`
	Burst     float64 `json:"burst"`
	Admitted  int64   `json:"admitted"`
	OverLimit int64   `json:"over_limit"`
}

// ErrorBody is the body of an error answer.
type ErrorBody struct {
	Error string `json:"error"`
}
