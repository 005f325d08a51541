// Package parser reads base files and overlays in YAML.
package parser

import (
	"fmt"

	"github.com/goccy/go-yaml"
	"google.golang.org/protobuf/encoding/protojson"

	"catkindyke/pkg/schema"
)

// Parse reads one file's content into a configuration. The name appears in errors.
func Parse(name string, content []byte) (*schema.Config, error) {
	json, err := yaml.YAMLToJSON(content)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	cfg := &schema.Config{}
	if err := protojson.Unmarshal(json, cfg); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return cfg, nil
}
