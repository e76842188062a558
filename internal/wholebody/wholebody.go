// Package wholebody reads the bodies of messages that must be complete and may not exceed a size.
package wholebody

import (
	"errors"
	"fmt"
	"io"
)

// TooLargeError means that a body exceeds its limit.
type TooLargeError struct {
	Limit int64 // In bytes.
}

// Error implements error.
func (e *TooLargeError) Error() string { return fmt.Sprintf("the body exceeds %d bytes", e.Limit) }

// IsTooLarge reports whether an error is or wraps a TooLargeError.
func IsTooLarge(err error) bool {
	var e *TooLargeError
	return errors.As(err, &e)
}

// Read reads a body up to its end. It returns a TooLargeError if the body has more than limit bytes, which must be below the largest int64.
func Read(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, &TooLargeError{limit}
	}
	return data, nil
}
