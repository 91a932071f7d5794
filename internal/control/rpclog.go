package control

import "github.com/sourcegraph/jsonrpc2"

// discardLog keeps the JSON-RPC library from writing log lines of its own, which have no event number. The same errors are
// returned by calls and logged with an event number.
var discardLog = jsonrpc2.SetLogger(discardLogger{})

type discardLogger struct{}

// Printf does nothing.
func (discardLogger) Printf(string, ...any) {}
