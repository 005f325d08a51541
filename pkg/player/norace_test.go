//go:build !race

package player

// raceDetectorScenarios is nil, so that every scenario runs.
var raceDetectorScenarios map[string]bool
