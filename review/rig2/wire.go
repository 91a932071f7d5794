package rig2

import (
	_ "embed" // For the platform's names.
	"encoding/json"
)

// wireText holds the platform's names: this repository keeps them out of the Go code beside package platform.
//
//go:embed wire.json
var wireText []byte

// Wire are the platform's names that the stand-ins speak.
var Wire = readWire()

// Names is the form of wire.json.
type Names struct {
	// RequestID, Seal and ExpectedInstance are headers.
	RequestID, Seal, ExpectedInstance string
	// More is a field of a list, Prefix, Kind and Aim are fields of a route, and Cold is one of a server.
	More, Prefix, Kind, Aim, Cold string
	// StagePut and StageGet are calls of an engine.
	StagePut, StageGet string
}

func readWire() Names {
	var w Names
	if err := json.Unmarshal(wireText, &w); err != nil {
		panic(err) // The file is part of the program.
	}
	return w
}
