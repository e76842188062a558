package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed wire.json
var wireFile []byte

// wire holds the names of the users' wire, which may not stand in Go files outside of platform/.
var wire = func() map[string]string {
	names := map[string]string{}
	if err := json.Unmarshal(wireFile, &names); err != nil {
		panic(err)
	}
	return names
}()
