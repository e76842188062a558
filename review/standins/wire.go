package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed wire.json
var wireText []byte

// wire holds the names of the platform's wire format that the product allows in its adapter's Go files only.
var wire = func() (names struct {
	HeaderPrefix, PathResolve, PathReady, PathReport, PathObjects, SettingsVariable, ColdField, KeysField, LatencyField string
}) {
	if err := json.Unmarshal(wireText, &names); err != nil {
		panic(err)
	}
	return names
}()
