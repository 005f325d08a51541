//go:build !race

package exerciser

// scheduleCount is the number of seeded schedules. It keeps the test to about
// 10 s in CI; a longer search needs thousands.
const scheduleCount = 240
