// Package attribution identifies which part of a prompt crashes upstreams.
package attribution

import "fmt"

// Part identifies a part of a prompt, such as a document, that several requests may share. It is the same for all callers.
type Part uint64

// String returns the identifier in hexadecimal, as callers send it.
func (p Part) String() string { return fmt.Sprintf("%08x", uint64(p)) }
