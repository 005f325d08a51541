//go:build race

package player

// raceDetectorScenarios are played under the race detector, where all of them take over
// two minutes. The run without the detector plays every scenario.
var raceDetectorScenarios = map[string]bool{
	"key_withdrawn": true, "operators_race": true, "restart_while_store_down": true,
	"incident_booking_invoiced_twice": true,
}
