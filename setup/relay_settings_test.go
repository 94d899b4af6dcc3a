package setup

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/core"
)

// TestNamesOfFailureDomainsAreChecked guards against a settings file with a name that no order could carry.
func TestNamesOfFailureDomainsAreChecked(t *testing.T) {
	s := RelayDefaults()
	s.FailureDomains = []core.FailureDomain{"a", "b/c"}
	must.StrNotContains(t, s.Check().Error(), "FailureDomains")
	s.FailureDomains = append(s.FailureDomains, "", core.FailureDomain(strings.Repeat("x", 257)))
	must.StrContains(t, s.Check().Error(), "FailureDomains[2]")
	must.StrContains(t, s.Check().Error(), "FailureDomains[3]")
}
