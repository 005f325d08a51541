//go:build race

package exerciser

// schedules is smaller under the race detector, which is many times slower;
// the exerciser uses one goroutine.
const schedules = 64
