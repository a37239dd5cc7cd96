// Package examples holds the example files that come with the program.
package examples

import _ "embed" // the files

// Sample is the deployment and workload that "shalestage up" runs by default.
//
//go:embed sample.toml
var Sample []byte

// Scale is the run of "shalestage scale" that docs/experiments.md describes.
//
//go:embed scale.toml
var Scale []byte
