package rig

import (
	_ "embed" // For the platform's names.
	"encoding/json"
	"maps"
)

// wireText holds the platform's names: this repository keeps them out of the Go code beside package platform.
//
//go:embed wire.json
var wireText []byte

// wire are the platform's names that the stand-ins speak.
var wire = readWire()

// wireNames is the form of wire.json.
type wireNames struct {
	// RequestID, Seal and ExpectedInstance are headers.
	RequestID, Seal, ExpectedInstance string
	// More is the field of a list that tells that there are more objects.
	More string
	// Metadata and Registration are the constant fields of an object's metadata and of an upstream's registration.
	Metadata, Registration map[string]any
}

func readWire() wireNames {
	var w wireNames
	if err := json.Unmarshal(wireText, &w); err != nil {
		panic(err) // The file is part of the program.
	}
	return w
}

// with returns a copy of fields with others added.
func with(fields, others map[string]any) map[string]any {
	sum := maps.Clone(fields)
	maps.Copy(sum, others)
	return sum
}
