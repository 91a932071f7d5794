// Package config reads process settings from flags and environment variables. Each flag has a variable; the flag takes
// precedence. A variable with the product's prefix that no command reads is an error, so that a misspelt name is noticed.
package config

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"strings"

	"samphireweir.example/samphireweir/internal/code"
)

// EnvPrefix is the prefix of the names of all environment variables of the system.
const EnvPrefix = "SAMPHIREWEIR_"

// EnvName returns the name of the environment variable for a flag: SAMPHIREWEIR_LINK_RATE for "link-rate".
func EnvName(flagName string) string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(flagName, "-", "_"))
}

// AddEnvNames adds the name of the environment variable to each flag's help text, and prefixes the errors of parsing flags
// with their result code.
func AddEnvNames(fs *flag.FlagSet) {
	fs.SetOutput(codeWriter{fs.Output()})
	fs.VisitAll(func(f *flag.Flag) {
		if !strings.Contains(f.Usage, EnvPrefix) {
			f.Usage += " (variable " + EnvName(f.Name) + ")"
		}
	})
}

// flagErrorPrefixes are the prefixes of the error messages of package flag.
var flagErrorPrefixes = []string{"invalid value ", "invalid boolean ", "flag provided but not defined", "flag needs an argument"}

// codeWriter prefixes the error messages of package flag with their result code.
type codeWriter struct{ io.Writer }

// Write writes one message.
func (w codeWriter) Write(p []byte) (int, error) {
	for _, prefix := range flagErrorPrefixes {
		if bytes.HasPrefix(p, []byte(prefix)) {
			_, _ = fmt.Fprintf(w.Writer, "samphireweir %d %s: ", code.BadProcessSetting, code.BadProcessSetting.Describe().Name)
		}
	}
	return w.Writer.Write(p)
}

// FromEnvironment sets the flags that were not given from environ, a list of NAME=value. others are the variables that
// other commands read; they are ignored. Any other variable with EnvPrefix is an error.
func FromEnvironment(fs *flag.FlagSet, environ []string, others map[string]bool) error {
	given := map[string]bool{}
	fs.Visit(func(f *flag.Flag) { given[f.Name] = true })
	known := map[string]string{}
	fs.VisitAll(func(f *flag.Flag) { known[EnvName(f.Name)] = f.Name })
	for _, pair := range environ {
		name, value, _ := strings.Cut(pair, "=")
		if !strings.HasPrefix(name, EnvPrefix) {
			continue
		}
		flagName, ok := known[name]
		if !ok && !others[name] {
			return code.Errorf(code.UnknownVariable, name, "no command reads it; see `samphireweir flags` for the names")
		}
		if !ok || given[flagName] {
			continue
		}
		if err := fs.Set(flagName, value); err != nil {
			return code.Errorf(code.BadProcessSetting, name, "%q: %v; want %s", value, err, validExample(fs.Lookup(flagName)))
		}
	}
	return nil
}

// validExample returns a hint at a valid value: the flag's default, or its help text if it has none.
func validExample(f *flag.Flag) string {
	if f.DefValue == "" {
		return f.Usage
	}
	return "a value such as " + f.DefValue
}

// CheckListen returns an error unless value is an IP address and port to listen on. field is the flag's name without the
// dash.
func CheckListen(field, value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return code.Errorf(code.BadProcessSetting, "-"+field, "%q, want IP:PORT such as 10.0.0.5:7070, or port 0 for any", value)
	}
	return nil
}

// CheckDistinct returns an error if two listeners have the same address. Port 0 stands for any free port and never clashes.
func CheckDistinct(fieldA, a, fieldB, b string) error {
	if a != b || strings.HasSuffix(a, ":0") {
		return nil
	}
	return code.Errorf(code.ConflictingSettings, fmt.Sprintf("-%s and -%s", fieldA, fieldB), "both %s, want two addresses or ports", a)
}
