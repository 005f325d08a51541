//go:build !race

package exerciser

// scheduleCount is the number of seeded schedules, bounded to about 10 s of CI time; set it to thousands for a long run.
const scheduleCount = 240
