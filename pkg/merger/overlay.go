package merger

import (
	"fmt"
	"strings"

	"catkindyke/pkg/parser"
	"catkindyke/pkg/schema"
)

// allowedInOverlay lists what an overlay may hold, for messages.
const allowedInOverlay = "the overlay's own site, backend servers of its region, links from its region, settings.trusted_proxies"

// siteOf returns the site that an overlay names first.
func siteOf(o *parser.File) *schema.Site {
	if sites := o.Config().GetSites(); len(sites) > 0 {
		return sites[0]
	}
	return nil
}

// overlay is an overlay under check against the base.
type overlay struct {
	m      *Result
	base   *schema.Config
	file   *parser.File
	region string
}

func (o *overlay) refuse(path, value, text, allowed, nearest string) {
	o.m.problems = append(o.m.problems, parser.Problem{
		Position: o.file.Position(path), Path: path, Value: value, Text: text, Allowed: allowed, Suggestion: nearest,
	})
}

func (m *Result) checkOverlays(base *parser.File, overlays []*parser.File) {
	first := make(map[string]*parser.File)
	for _, f := range overlays {
		o := &overlay{m: m, base: base.Config(), file: f}
		if !o.checkSite() {
			continue
		}
		name := siteOf(f).GetName()
		path := "sites[" + name + "]"
		if earlier := first[name]; earlier != nil {
			o.refuse(path, "", fmt.Sprintf("the site already has an overlay at %s", earlier.Position(path)), "one overlay for each site", "")
			continue
		}
		first[name] = f
		o.checkFields()
		o.checkServices()
		o.checkLinks()
	}
}

// checkSite finds the region of the overlay and reports whether it has one.
func (o *overlay) checkSite() bool {
	sites := o.file.Config().GetSites()
	if len(sites) != 1 || sites[0].GetName() == "" {
		o.refuse("sites", "", fmt.Sprintf("the overlay names %d sites", len(sites)), "exactly one site with a name", "")
		return false
	}
	path := "sites[" + sites[0].GetName() + "]"
	o.region = sites[0].GetRegion()
	for _, s := range o.base.GetSites() {
		if s.GetName() != sites[0].GetName() || s.GetRegion() == "" {
			continue
		}
		if o.region != "" && o.region != s.GetRegion() {
			o.refuse(path+".region", o.region, "an overlay may not move its site to another region", s.GetRegion(), "")
			return false
		}
		o.region = s.GetRegion()
	}
	if o.region == "" {
		o.refuse(path, "", "neither the overlay nor the base names the site's region", "a region of the base", "")
	}
	return o.region != ""
}

// checkFields refuses what belongs to the whole fleet.
func (o *overlay) checkFields() {
	cfg := o.file.Config()
	if len(cfg.GetRegions()) > 0 {
		o.refuse("regions", "", "an overlay may not set regions", allowedInOverlay, "")
	}
	if len(cfg.GetWorkspaces()) > 0 {
		o.refuse("workspaces", "", "an overlay may not set workspaces", allowedInOverlay, "")
	}
	settings := cfg.GetSettings().ProtoReflect()
	fields := settings.Descriptor().Fields()
	for i := range fields.Len() {
		if fd := fields.Get(i); settings.Has(fd) && fd.Name() != "trusted_proxies" {
			o.refuse("settings."+string(fd.Name()), "", "an overlay may not set this", allowedInOverlay, "")
		}
	}
}

func (o *overlay) checkServices() {
	services := make(map[string]*schema.Service)
	var names []string
	for _, s := range o.base.GetServices() {
		services[s.GetName()] = s
		names = append(names, s.GetName())
	}
	for _, s := range o.file.Config().GetServices() {
		path := "services[" + s.GetName() + "]"
		in, ok := services[s.GetName()]
		if !ok {
			o.refuse(path, s.GetName(), "the base has no such service", strings.Join(names, ", "), parser.SuggestName(s.GetName(), names))
			continue
		}
		msg := s.ProtoReflect()
		fields := msg.Descriptor().Fields()
		for i := range fields.Len() {
			fd := fields.Get(i)
			if msg.Has(fd) && fd.Name() != "name" && fd.Name() != "backend_servers" {
				o.refuse(path+"."+string(fd.Name()), "", "an overlay may not set this", allowedInOverlay, "")
			}
		}
		o.checkServers(path, in, s)
	}
}

// checkServers requires each backend server to be in the overlay's region, by
// the overlay and by the base.
func (o *overlay) checkServers(path string, in, s *schema.Service) {
	regions := make(map[string]string)
	for _, b := range in.GetBackendServers() {
		regions[b.GetName()] = b.GetRegion()
	}
	for _, b := range s.GetBackendServers() {
		at := path + ".backend_servers[" + b.GetName() + "]"
		was, ok := regions[b.GetName()]
		switch {
		case ok && was != o.region:
			o.refuse(at, "", fmt.Sprintf("the base places the server in region %q, which is not the overlay's", was), o.region, "")
		case !ok && b.GetRegion() == "":
			o.refuse(at, "", "a new server needs a region", o.region, "")
		case b.GetRegion() != "" && b.GetRegion() != o.region:
			o.refuse(at+".region", b.GetRegion(), "an overlay may only set servers of its own region", o.region, "")
		}
	}
}

func (o *overlay) checkLinks() {
	for _, l := range o.file.Config().GetLinks() {
		if l.GetFrom() != o.region {
			o.refuse("links["+l.GetFrom()+">"+l.GetTo()+"]", l.GetFrom(), "an overlay may only set links from its own region", o.region, "")
		}
	}
}
