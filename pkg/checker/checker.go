// Package checker validates a merged configuration across its sections and
// files. Errors reject the configuration, warnings do not.
package checker

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"catkindyke/pkg/parser"
	"catkindyke/pkg/schema"
)

// Severity determines whether a finding rejects the configuration.
type Severity string

// Severities.
const (
	SeverityError   Severity = "error"
	SeverityWarning Severity = "warning"
)

// Code identifies the kind of a finding.
type Code string

// Codes of findings.
const (
	Missing               Code = "missing"
	UnknownReference      Code = "unknown_reference"
	Duplicate             Code = "duplicate"
	ReservedName          Code = "reserved_name"
	BadRoute              Code = "bad_route"
	BurstTooSmall         Code = "burst_too_small"
	RateOverCapacity      Code = "rate_over_capacity"
	ConnectionsUnderSlots Code = "connections_under_slots"
	NoServers             Code = "no_servers"
	NoLink                Code = "no_link"
	SelfLink              Code = "link_to_itself"
	ShiftCapTooSmall      Code = "shift_cap_too_small"
	NoFailoverCapacity    Code = "no_failover_capacity"
	TooLarge              Code = "too_large"
)

// Finding is an error or warning with its position in the configuration files.
type Finding struct {
	Severity Severity
	Code     Code
	parser.Problem
}

// Error returns the finding as one line.
func (f Finding) Error() string {
	return fmt.Sprintf("%s: %s [%s]", f.Severity, f.Problem.Error(), f.Code)
}

// Config configures a check.
type Config struct {
	// Config is the merged configuration.
	Config *schema.Config
	// Position returns the file and line that set a field.
	Position func(path string) parser.Position
}

// checker collects findings.
type checker struct {
	Config
	cfg      *schema.Config
	findings []Finding
}

// Check returns all findings, errors first, then by position.
func Check(cfg Config) []Finding {
	c := &checker{Config: cfg, cfg: cfg.Config}
	c.checkSize()
	c.checkRequired("", c.cfg.ProtoReflect())
	c.checkRegions()
	c.checkServices()
	c.checkSites()
	c.checkWorkspaces()
	c.checkLinks()
	c.checkFailovers()
	slices.SortStableFunc(c.findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Severity, b.Severity), cmp.Compare(a.Position.File, b.Position.File),
			cmp.Compare(a.Position.Line, b.Position.Line), cmp.Compare(a.Path, b.Path), cmp.Compare(a.Text, b.Text))
	})
	return c.findings
}

// HasErrors reports whether a finding is an error.
func HasErrors(findings []Finding) bool {
	return slices.ContainsFunc(findings, func(f Finding) bool { return f.Severity == SeverityError })
}

func (c *checker) add(severity Severity, code Code, p parser.Problem) {
	p.Position = c.Position(p.Path)
	c.findings = append(c.findings, Finding{Severity: severity, Code: code, Problem: p})
}

// maxConfigBytes is the size limit of an object in the store.
const maxConfigBytes = 1 << 20

// checkSize reports a configuration that is too large for the store.
func (c *checker) checkSize() {
	if n := proto.Size(c.cfg); n > maxConfigBytes {
		c.add(SeverityError, TooLarge, parser.Problem{
			Text: fmt.Sprintf("the merged configuration has %d bytes", n), Allowed: fmt.Sprintf("at most %d bytes", maxConfigBytes),
		})
	}
}

// checkRequired reports required fields that have no value.
func (c *checker) checkRequired(path string, msg protoreflect.Message) {
	fields := msg.Descriptor().Fields()
	for i := range fields.Len() {
		fd := fields.Get(i)
		fieldPath := strings.TrimPrefix(path+"."+string(fd.Name()), ".")
		switch {
		case parser.RuleOf(fd).Required && !msg.Has(fd):
			c.add(SeverityError, Missing, parser.Problem{Path: fieldPath, Text: "the field is missing", Allowed: parser.AllowedOf(fd)})
		case fd.IsList() && fd.Message() != nil:
			list := msg.Get(fd).List()
			for j := range list.Len() {
				c.checkRequired(fieldPath+"["+parser.EntryKey(fd, list.Get(j))+"]", list.Get(j).Message())
			}
		case !fd.IsList() && fd.Message() != nil:
			c.checkRequired(fieldPath, msg.Get(fd).Message())
		}
	}
}

// checkReference reports a name that is not in names, and returns whether the
// name is valid. An empty name is reported by checkRequired.
func (c *checker) checkReference(path, kind, name string, names []string) bool {
	if name == "" || slices.Contains(names, name) {
		return name != ""
	}
	c.add(SeverityError, UnknownReference, parser.Problem{
		Path: path, Value: name, Text: "unknown " + kind, Allowed: strings.Join(names, ", "), Suggestion: parser.SuggestName(name, names),
	})
	return false
}

// checkUnique reports a value that another path already uses. pathOf maps each
// value to the first path that uses it.
func (c *checker) checkUnique(pathOf map[string]string, path, value, kind string) {
	if firstPath, ok := pathOf[value]; ok {
		c.add(SeverityError, Duplicate, parser.Problem{
			Path: path, Value: value, Text: fmt.Sprintf("the %s is already used by %s at %s", kind, firstPath, c.Position(firstPath)),
		})
		return
	}
	pathOf[value] = path
}

func (c *checker) regionNames() []string {
	names := make([]string, 0, len(c.cfg.GetRegions()))
	for _, r := range c.cfg.GetRegions() {
		names = append(names, r.GetName())
	}
	return names
}

func (c *checker) zoneNames(region string) []string {
	for _, r := range c.cfg.GetRegions() {
		if r.GetName() == region {
			return r.GetAvailabilityZones()
		}
	}
	return nil
}

// checkLocation checks the region and availability zone of a backend server or
// site.
func (c *checker) checkLocation(path, region, zone string) {
	if c.checkReference(path+".region", "region", region, c.regionNames()) {
		c.checkReference(path+".availability_zone", "availability zone of region "+region, zone, c.zoneNames(region))
	}
}

func (c *checker) checkRegions() {
	if len(c.cfg.GetRegions()) == 0 {
		c.add(SeverityError, Missing, parser.Problem{Path: "regions", Text: "no region is defined", Allowed: "at least one region"})
	}
	zones := make(map[string]string)
	for _, r := range c.cfg.GetRegions() {
		for _, z := range r.GetAvailabilityZones() {
			c.checkUnique(zones, "regions["+r.GetName()+"].availability_zones["+z+"]", z, "availability zone")
		}
	}
}

func (c *checker) checkSites() {
	blocks := make(map[string]string)
	for _, s := range c.cfg.GetSites() {
		path := "sites[" + s.GetName() + "]"
		c.checkLocation(path, s.GetRegion(), s.GetAvailabilityZone())
		for _, b := range s.GetBlocks() {
			c.checkUnique(blocks, path+".blocks["+b+"]", b, "block")
		}
	}
}
