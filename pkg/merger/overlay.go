package merger

import (
	"fmt"
	"strings"

	"catkindyke/pkg/parser"
	"catkindyke/pkg/schema"
)

// allowedInOverlay describes for messages what an overlay may contain.
const allowedInOverlay = "the overlay's own site, backend servers of its region, links from its region, settings.trusted_proxies"

// siteOf returns the first site of an overlay, nil if it has none.
func siteOf(o *parser.File) *schema.Site {
	if sites := o.Config().GetSites(); len(sites) > 0 {
		return sites[0]
	}
	return nil
}

// overlayChecker checks one overlay against the base.
type overlayChecker struct {
	result *Result
	base   *schema.Config
	file   *parser.File
	region string
}

func (o *overlayChecker) addProblem(path, value, text, allowed, suggestion string) {
	o.result.problems = append(o.result.problems, parser.Problem{
		Position: o.file.Position(path), Path: path, Value: value, Text: text, Allowed: allowed, Suggestion: suggestion,
	})
}

func (m *Result) checkOverlays(base *parser.File, overlays []*parser.File) {
	bySite := make(map[string]*parser.File)
	for _, f := range overlays {
		o := &overlayChecker{result: m, base: base.Config(), file: f}
		if !o.checkSite() {
			continue
		}
		name := siteOf(f).GetName()
		path := "sites[" + name + "]"
		if earlier := bySite[name]; earlier != nil {
			o.addProblem(path, "", fmt.Sprintf("the site already has an overlay at %s", earlier.Position(path)), "one overlay for each site", "")
			continue
		}
		bySite[name] = f
		o.checkFields()
		o.checkServices()
		o.checkLinks()
	}
}

// checkSite determines the overlay's region and reports whether the site is valid.
func (o *overlayChecker) checkSite() bool {
	sites := o.file.Config().GetSites()
	if len(sites) != 1 || sites[0].GetName() == "" {
		o.addProblem("sites", "", fmt.Sprintf("the overlay names %d sites", len(sites)), "exactly one site with a name", "")
		return false
	}
	path := "sites[" + sites[0].GetName() + "]"
	o.region = sites[0].GetRegion()
	for _, s := range o.base.GetSites() {
		if s.GetName() != sites[0].GetName() || s.GetRegion() == "" {
			continue
		}
		if o.region != "" && o.region != s.GetRegion() {
			o.addProblem(path+".region", o.region, "an overlay may not move its site to another region", s.GetRegion(), "")
			return false
		}
		o.region = s.GetRegion()
	}
	if o.region == "" {
		o.addProblem(path, "", "neither the overlay nor the base names the site's region", "a region of the base", "")
	}
	return o.region != ""
}

// checkFields rejects the fields that apply to the whole fleet.
func (o *overlayChecker) checkFields() {
	cfg := o.file.Config()
	if len(cfg.GetRegions()) > 0 {
		o.addProblem("regions", "", "an overlay may not set regions", allowedInOverlay, "")
	}
	if len(cfg.GetWorkspaces()) > 0 {
		o.addProblem("workspaces", "", "an overlay may not set workspaces", allowedInOverlay, "")
	}
	settings := cfg.GetSettings().ProtoReflect()
	fields := settings.Descriptor().Fields()
	for i := range fields.Len() {
		if fd := fields.Get(i); settings.Has(fd) && fd.Name() != "trusted_proxies" {
			o.addProblem("settings."+string(fd.Name()), "", "an overlay may not set this", allowedInOverlay, "")
		}
	}
}

func (o *overlayChecker) checkServices() {
	services := make(map[string]*schema.Service)
	var names []string
	for _, s := range o.base.GetServices() {
		services[s.GetName()] = s
		names = append(names, s.GetName())
	}
	for _, s := range o.file.Config().GetServices() {
		path := "services[" + s.GetName() + "]"
		baseService, ok := services[s.GetName()]
		if !ok {
			o.addProblem(path, s.GetName(), "the base has no such service", strings.Join(names, ", "), parser.SuggestName(s.GetName(), names))
			continue
		}
		msg := s.ProtoReflect()
		fields := msg.Descriptor().Fields()
		for i := range fields.Len() {
			fd := fields.Get(i)
			if msg.Has(fd) && fd.Name() != "name" && fd.Name() != "backend_servers" {
				o.addProblem(path+"."+string(fd.Name()), "", "an overlay may not set this", allowedInOverlay, "")
			}
		}
		o.checkServers(path, baseService, s)
	}
}

// checkServers requires that both the base and the overlay place each backend
// server in the overlay's region.
func (o *overlayChecker) checkServers(path string, baseService, s *schema.Service) {
	baseRegions := make(map[string]string)
	for _, b := range baseService.GetBackendServers() {
		baseRegions[b.GetName()] = b.GetRegion()
	}
	for _, b := range s.GetBackendServers() {
		serverPath := path + ".backend_servers[" + b.GetName() + "]"
		baseRegion, ok := baseRegions[b.GetName()]
		switch {
		case ok && baseRegion != o.region:
			o.addProblem(serverPath, "", fmt.Sprintf("the base places the server in region %q, which is not the overlay's", baseRegion), o.region, "")
		case !ok && b.GetRegion() == "":
			o.addProblem(serverPath, "", "a new server needs a region", o.region, "")
		case b.GetRegion() != "" && b.GetRegion() != o.region:
			o.addProblem(serverPath+".region", b.GetRegion(), "an overlay may only set servers of its own region", o.region, "")
		}
	}
}

func (o *overlayChecker) checkLinks() {
	for _, l := range o.file.Config().GetLinks() {
		if l.GetFrom() != o.region {
			o.addProblem("links["+l.GetFrom()+">"+l.GetTo()+"]", l.GetFrom(), "an overlay may only set links from its own region", o.region, "")
		}
	}
}
