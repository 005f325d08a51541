package runner

import "catkindyke/pkg/snapshotter"

// regionOrder returns the regions to try for a request: the host's own, then
// the others in the order of the configuration.
func regionOrder(snap *snapshotter.Snapshot) []string {
	own := snap.Self().Region
	order := []string{own}
	for _, r := range snap.Config().GetRegions() {
		if r.GetName() != own {
			order = append(order, r.GetName())
		}
	}
	return order
}
