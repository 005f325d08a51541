//go:build race

package simulator

// schedules is smaller under the race detector, which is many times slower;
// the simulator uses one goroutine.
const schedules = 64
