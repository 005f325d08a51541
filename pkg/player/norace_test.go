//go:build !race

package player

// raceScenarios is empty where every scenario is played.
var raceScenarios map[string]bool
