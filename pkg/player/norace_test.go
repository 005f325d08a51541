//go:build !race

package player

// raceDetectorScenarios is empty where every scenario is played.
var raceDetectorScenarios map[string]bool
