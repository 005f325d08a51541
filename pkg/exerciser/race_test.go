//go:build race

package exerciser

// scheduleCount is smaller under the race detector, which is many times slower.
// The exerciser uses one goroutine, so more schedules would find no more races.
const scheduleCount = 64
