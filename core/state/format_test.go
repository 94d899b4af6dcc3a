package state

import (
	"os"
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/bench/golden"
	"cyclamenford/core/ledger"
	"cyclamenford/core/poison"
)

// TestStoredTypesKeepTheirFormat guards against fields renamed here: what a keeper of the release has stored would be read as zero.
func TestStoredTypesKeepTheirFormat(t *testing.T) {
	golden.CBOR[Command](t, "Command")
	golden.CBOR[Reply](t, "Reply")
	golden.CBOR[snapshot](t, "Snapshot")
	golden.CBOR[Delta](t, "Delta")
	// The values of the published image.
	golden.CBOR[Config](t, "Config")
	golden.CBOR[Host](t, "Host")
	golden.CBOR[Retirement](t, "Retirement")
	golden.CBOR[Evacuation](t, "Evacuation")
	golden.CBOR[Subtree](t, "Subtree")
	golden.CBOR[poison.Entry](t, "Suspect")
	golden.CBOR[poison.PartEntry](t, "Part")
	golden.CBOR[ledger.Record](t, "Call")
}

// TestCommandsOfTheFormerReleaseStayReadable guards against a log whose commands, written before evacuations, would be read differently.
func TestCommandsOfTheFormerReleaseStayReadable(t *testing.T) {
	raw, err := os.ReadFile("testdata/golden/former/Command.cbor")
	must.NoError(t, err)
	c, err := DecodeCommand(raw)
	must.NoError(t, err)
	must.Nil(t, c.SetEvacuation)
	golden.Same(t, "former/Command", c)
}

// TestStoredValuesKeepTheirNames guards against names that commands, replies and keys of the image would no longer have in common with
// what is stored.
func TestStoredValuesKeepTheirNames(t *testing.T) {
	must.Eq(t, 1, formatVersion)
	must.Eq(t, []string{"Settings/", "Host/", "Drain/", "Poison/", "Retired/", "Evacuated/", "Config/", "Skipped/"},
		[]string{settingsPrefix, hostPrefix, drainPrefix, poisonPrefix, retiredPrefix, evacuatedPrefix, configKey, supersededKey})
	must.Eq(t, []Result{"Accepted", "Conflict", "Invalid", "Refused"}, []Result{Accepted, Conflict, Invalid, Refused})
	must.Eq(t, []OrderKind{"LoadModel", "LoadAdapter", "ChangeRole", "Drain"}, OrderKinds)
	must.Eq(t, []OrderPhase{"Open", "Done", "Failed"}, []OrderPhase{OrderOpen, OrderDone, OrderFailed})
	must.Eq(t, []ledger.Phase{1, 2, 3}, []ledger.Phase{ledger.Reserved, ledger.Done, ledger.Lost})
	must.Eq(t, []ledger.Verdict{1, 2, 3, 4, 5, 6},
		[]ledger.Verdict{ledger.Granted, ledger.Pending, ledger.Answered, ledger.KeyReused, ledger.Expired, ledger.IssuedInFuture})
	must.Eq(t, []poison.Standing{0, 1, 2, 3}, []poison.Standing{poison.Clear, poison.Suspected, poison.Convicted, poison.Noted})
}
