package checker

import (
	"fmt"
	"slices"
	"strings"

	"catkindyke/pkg/parser"
	"catkindyke/pkg/schema"
)

// reservedNames are not allowed as service names, because hosts serve these
// first path segments themselves.
var reservedNames = []string{"v1"}

func (c *checker) checkServices() {
	if len(c.cfg.GetServices()) == 0 {
		c.add(SeverityError, Missing, parser.Problem{Path: "services", Text: "no service is defined", Allowed: "at least one service"})
	}
	names, addresses := make(map[string]string), make(map[string]string)
	for _, s := range c.cfg.GetServices() {
		path := "services[" + s.GetName() + "]"
		if slices.Contains(reservedNames, s.GetName()) {
			c.add(SeverityError, ReservedName, parser.Problem{Path: path, Value: s.GetName(), Text: "the path segment is reserved for the API of the hosts"})
		}
		c.checkRoutes(path+".open_routes", s.GetName(), s.GetOpenRoutes())
		c.checkRoutes(path+".idempotent_routes", s.GetName(), s.GetIdempotentRoutes())
		for _, b := range s.GetBackendServers() {
			serverPath := path + ".backend_servers[" + b.GetName() + "]"
			// A drain names a backend server without its service, so names are
			// unique across services.
			c.checkUnique(names, serverPath, b.GetName(), "name")
			if b.GetAddress() != "" {
				c.checkUnique(addresses, serverPath+".address", b.GetAddress(), "address")
			}
			c.checkLocation(serverPath, b.GetRegion(), b.GetAvailabilityZone())
			c.checkSlots(serverPath, s, b)
		}
		c.checkServers(path, s)
	}
}

// checkSlots reports a backend server that has no slots, or more slots than
// connections.
func (c *checker) checkSlots(path string, s *schema.Service, b *schema.BackendServer) {
	n := effectiveSlots(s, b)
	if n == 0 {
		c.add(SeverityError, Missing, parser.Problem{
			Path: path + ".slots", Text: "neither the backend server nor its service has slots", Allowed: "a whole number from 1 to 10000",
		})
	}
	if limit := s.GetConnections(); limit > 0 && n > limit {
		c.add(SeverityError, ConnectionsUnderSlots, parser.Problem{
			Path: path + ".slots", Value: fmt.Sprint(n),
			Text: fmt.Sprintf("the service allows only %d connections to each backend server", limit), Allowed: fmt.Sprintf("1 to %d", limit),
		})
	}
}

// effectiveSlots returns the slots of a backend server, by default those of its
// service.
func effectiveSlots(s *schema.Service, b *schema.BackendServer) uint32 {
	if b.GetSlots() > 0 {
		return b.GetSlots()
	}
	return s.GetSlots()
}

// checkRoutes reports routes that no request of the service can match.
func (c *checker) checkRoutes(path, service string, routes []string) {
	for _, r := range routes {
		if r != "/"+service && !strings.HasPrefix(r, "/"+service+"/") {
			c.add(SeverityError, BadRoute, parser.Problem{
				Path: path + "[" + r + "]", Value: r, Text: "the route matches no request of the service", Allowed: "paths under /" + service,
			})
		}
	}
}

// checkServers reports a service without backend servers, in all regions or in
// one of them.
func (c *checker) checkServers(path string, s *schema.Service) {
	if len(s.GetBackendServers()) == 0 {
		c.add(SeverityError, NoServers, parser.Problem{Path: path, Text: "the service has no backend servers", Allowed: "at least one"})
		return
	}
	for _, region := range c.regionNames() {
		if !slices.ContainsFunc(s.GetBackendServers(), func(b *schema.BackendServer) bool { return b.GetRegion() == region }) {
			c.add(SeverityWarning, NoServers, parser.Problem{Path: path, Text: "the service has no backend servers in region " + region})
		}
	}
}

// capacity returns the requests a second that a service can serve in a region,
// or in all regions if region is empty.
func capacity(s *schema.Service, region string) float64 {
	if s.GetServiceTimeMs() == 0 {
		return 0
	}
	var slots float64
	for _, b := range s.GetBackendServers() {
		if region == "" || b.GetRegion() == region {
			slots += float64(effectiveSlots(s, b))
		}
	}
	return slots * 1000 / float64(s.GetServiceTimeMs())
}
