//go:build race

package player

// raceDetectorScenarios are the scenarios to run under the race detector, with which all
// of them take over two minutes. Without the race detector every scenario runs.
var raceDetectorScenarios = map[string]bool{
	"key_withdrawn": true, "operators_race": true, "restart_while_store_down": true,
	"incident_booking_invoiced_twice": true,
}
