package core_test

import (
	"math"
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/core"
)

// TestAnnouncementsThatCannotBeRightAreRefused guards against an endpoint that is chosen though it cannot be reached, and against
// one entry that makes all later ones of its endpoint look old.
func TestAnnouncementsThatCannotBeRightAreRefused(t *testing.T) {
	valid := core.Announcement{ID: "e", Incarnation: 1, Seq: 1, Address: "10.0.0.1:80", Kind: core.Encode, Models: []string{"m"}, Slots: 1}
	must.NoError(t, valid.Validate())
	for field, change := range map[string]func(*core.Announcement){
		"Address":     func(a *core.Announcement) { a.Address = "10.0.0.1:99999" },
		"Incarnation": func(a *core.Announcement) { a.Incarnation = math.MaxUint64 },
		"Seq":         func(a *core.Announcement) { a.Seq = math.MaxUint64 },
		"Slots":       func(a *core.Announcement) { a.Slots = math.MaxInt },
	} {
		odd := valid
		change(&odd)
		err := odd.Validate()
		must.Error(t, err)
		must.StrContains(t, err.Error(), field)
	}
	for _, address := range []string{"10.0.0.1", "10.0.0.1:0", "10.0.0.1:-1", ":80", "host:80"} {
		must.False(t, core.IsAddress(address), must.Sprint(address))
	}
}
