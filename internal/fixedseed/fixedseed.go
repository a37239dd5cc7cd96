// Package fixedseed gives generated tests the same inputs in every run, so that
// a commit has one verdict. Imported by tests for its effect alone; the flag
// -rapid.seed overrides it, for looking further.
package fixedseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag
)

func init() {
	if err := flag.Set("rapid.seed", "20261201"); err != nil {
		panic(err)
	}
}
