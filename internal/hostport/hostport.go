// Package hostport checks network addresses that other processes have stated.
package hostport

import (
	"errors"
	"net"
	"strconv"
)

var errInvalid = errors.New("the address isn't a host and a port from 1 to 65535")

// Check returns an error unless the address is host:port with a host and a port from 1 to 65535.
func Check(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return err
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 || host == "" {
		return errInvalid
	}
	return nil
}
