package hostport

import (
	"testing"

	"github.com/frankban/quicktest"
)

// Guards against addresses to which no connection can be opened.
func TestCheck(t *testing.T) {
	for address, valid := range map[string]bool{"10.0.0.1:1": true, "10.0.0.1:65535": true, "[::1]:80": true, "vm.example:8080": true,
		"10.0.0.1:0": false, "10.0.0.1:65536": false, "10.0.0.1:99999": false, "10.0.0.1:-1": false, "10.0.0.1:": false, "10.0.0.1": false,
		":80": false, "": false, "10.0.0.1:http": false, "10.0.0.1:+80": false, "10.0.0.1:99999999999999999999": false} {
		quicktest.Check(t, Check(address) == nil, quicktest.Equals, valid, quicktest.Commentf("%q", address))
	}
}
