//go:build race

package exerciser

// scheduleCount is smaller under the race detector, which is many times slower;
// the exerciser uses one goroutine.
const scheduleCount = 64
