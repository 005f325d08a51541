//go:build !race

package simulator

// schedules is the number of seeded schedules, about 10 s of CI time.
const schedules = 400
