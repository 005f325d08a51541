// Package merger combines a base configuration with the overlays of sites.
package merger

import (
	"google.golang.org/protobuf/proto"

	"catkindyke/pkg/schema"
)

// Merge adds each overlay to the base in order.
func Merge(base *schema.Config, overlays ...*schema.Config) (*schema.Config, error) {
	out := proto.Clone(base).(*schema.Config)
	for _, o := range overlays {
		proto.Merge(out, o)
	}
	return out, nil
}
