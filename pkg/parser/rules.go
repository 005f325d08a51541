package parser

import (
	"net/netip"
	"strconv"
	"strings"
	"unicode/utf8"

	"google.golang.org/protobuf/reflect/protoreflect"
)

// Rule constrains the values of a field. An explicit zero is always rejected,
// because zero means that the field is not set.
type Rule struct {
	// Min and Max are the inclusive limits of a number.
	Min, Max float64
	// Default is the default of a number; zero means that there is none.
	Default float64
	// DefaultText is the default of a string; empty means that there is none.
	DefaultText string
	// Format is the required format of a string.
	Format Format
	// Required marks a field that the merged configuration must set.
	Required bool
}

// Format is the format of a string value.
type Format int

// The formats of string values.
const (
	FormatName Format = iota + 1
	FormatAddress
	FormatBlock
	FormatPath
	FormatMethod
)

// methods are the HTTP methods that a service can declare as idempotent.
var methods = []string{"DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"}

// rules holds the rules of all scalar fields, by message and field name.
var rules = map[string]Rule{
	"Region.name":                     {Format: FormatName, Required: true},
	"Region.availability_zones":       {Format: FormatName, Required: true},
	"Service.name":                    {Format: FormatName, Required: true},
	"Service.slots":                   {Min: 1, Max: 10000},
	"Service.connections":             {Min: 1, Max: 100000, Default: 100},
	"Service.idempotent_methods":      {Format: FormatMethod},
	"Service.idempotent_routes":       {Format: FormatPath},
	"Service.open_routes":             {Format: FormatPath},
	"Service.deadline_ms":             {Min: 1, Max: 3600000, Default: 30000},
	"Service.progress_timeout_ms":     {Min: 100, Max: 600000, Default: 10000},
	"Service.max_body_bytes":          {Min: 1, Max: 1 << 40, Default: 64 << 20},
	"Service.queue_length":            {Min: 1, Max: 100000, Default: 100},
	"Service.service_time_ms":         {Min: 1, Max: 3600000, Required: true},
	"Service.health_path":             {Format: FormatPath, DefaultText: "/healthz"},
	"BackendServer.name":              {Format: FormatName, Required: true},
	"BackendServer.address":           {Format: FormatAddress, Required: true},
	"BackendServer.region":            {Format: FormatName, Required: true},
	"BackendServer.availability_zone": {Format: FormatName, Required: true},
	"BackendServer.slots":             {Min: 1, Max: 10000},
	"Workspace.name":                  {Format: FormatName, Required: true},
	"Workspace.rate_per_s":            {Min: 0.001, Max: 1e6, Required: true},
	"Workspace.burst":                 {Min: 1, Max: 1e7, Required: true},
	"Workspace.weight":                {Min: 0.001, Max: 1000, Default: 1},
	"Link.from":                       {Format: FormatName, Required: true},
	"Link.to":                         {Format: FormatName, Required: true},
	"Link.capacity_mbit_s":            {Min: 1, Max: 1e6, Required: true},
	"Link.shift_cap_per_s":            {Min: 0.001, Max: 1e6, Required: true},
	"Link.shift_step_per_mille":       {Min: 1, Max: 1000, Default: 100},
	"Site.name":                       {Format: FormatName, Required: true},
	"Site.region":                     {Format: FormatName, Required: true},
	"Site.availability_zone":          {Format: FormatName, Required: true},
	"Site.blocks":                     {Format: FormatBlock},
	"Settings.lookup_age_ms":          {Min: 100, Max: 600000, Default: 5000},
	"Settings.lookup_rate_per_s":      {Min: 1, Max: 1e6, Default: 100},
	"Settings.plan_interval_ms":       {Min: 100, Max: 600000, Default: 1000},
	"Settings.retry_budget_percent":   {Min: 1, Max: 100, Default: 10},
	"Settings.trusted_proxies":        {Format: FormatBlock},
}

// RuleOf returns the rule of a field.
func RuleOf(fd protoreflect.FieldDescriptor) Rule {
	return rules[string(fd.ContainingMessage().Name())+"."+string(fd.Name())]
}

// DefaultOf returns the default of a field and whether it has one.
func DefaultOf(fd protoreflect.FieldDescriptor) (protoreflect.Value, bool) {
	rule := RuleOf(fd)
	switch {
	case rule.DefaultText != "":
		return protoreflect.ValueOfString(rule.DefaultText), true
	case rule.Default == 0:
		return protoreflect.Value{}, false
	case fd.Kind() == protoreflect.DoubleKind:
		return protoreflect.ValueOfFloat64(rule.Default), true
	case fd.Kind() == protoreflect.Uint64Kind:
		return protoreflect.ValueOfUint64(uint64(rule.Default)), true
	default:
		return protoreflect.ValueOfUint32(uint32(rule.Default)), true
	}
}

// describe returns the description of a format for messages.
func (f Format) describe() string {
	switch f {
	case FormatName:
		return "1 to 63 lower-case letters, digits and inner hyphens"
	case FormatAddress:
		return "an IP address and a port, such as 127.0.0.1:8080 or [::1]:8080"
	case FormatBlock:
		return "a CIDR block without host bits, in canonical form, such as 192.0.2.0/24"
	case FormatPath:
		return "a path that starts with / and contains no space, ASCII control character, ? or #"
	default:
		return strings.Join(methods, ", ")
	}
}

// matches reports whether a string has the format.
func (f Format) matches(s string) bool {
	switch f {
	case FormatName:
		return isValidName(s)
	case FormatAddress:
		a, err := netip.ParseAddrPort(s)
		return err == nil && a.Port() != 0 && a.Addr().Zone() == "" && a.String() == s
	case FormatBlock:
		p, err := netip.ParsePrefix(s)
		return err == nil && p == p.Masked() && p.String() == s
	case FormatPath:
		return strings.HasPrefix(s, "/") && utf8.ValidString(s) && !strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r == '?' || r == '#' || r == 0x7f })
	default:
		return strings.Contains(" "+strings.Join(methods, " ")+" ", " "+s+" ") && !strings.Contains(s, " ")
	}
}

func isValidName(s string) bool {
	if s == "" || len(s) > 63 || s[0] == '-' || s[len(s)-1] == '-' {
		return false
	}
	return !strings.ContainsFunc(s, func(r rune) bool {
		return r != '-' && (r < 'a' || r > 'z') && (r < '0' || r > '9')
	})
}

// Range formats the range of allowed numbers.
func (r Rule) Range() string {
	return formatNumber(r.Min) + " to " + formatNumber(r.Max)
}

func formatNumber(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }
