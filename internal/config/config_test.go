package config_test

import (
	"flag"
	"testing"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/config"
)

func flags(args ...string) (*flag.FlagSet, *string, *int) {
	fs := flag.NewFlagSet("test", flag.ContinueOnError)
	name := fs.String("name", "default", "a name")
	rate := fs.Int("link-rate", 0, "a rate")
	_ = fs.Parse(args)
	return fs, name, rate
}

// TestFlagTakesPrecedenceOverVariable guards against an environment variable that overrides a flag on the command line.
func TestFlagTakesPrecedenceOverVariable(t *testing.T) {
	fs, name, rate := flags("-name", "flag")
	env := []string{"SAMPHIREWEIR_NAME=variable", "SAMPHIREWEIR_LINK_RATE=7", "OTHER=x"}
	require.NoError(t, config.FromEnvironment(fs, env, nil))
	require.Equal(t, "flag", *name)
	require.Equal(t, 7, *rate)
}

// TestUnknownOrInvalidVariableIsRejected guards against a misspelt variable that is ignored, and against an error that does
// not name the variable.
func TestUnknownOrInvalidVariableIsRejected(t *testing.T) {
	fs, _, _ := flags()
	require.ErrorContains(t, config.FromEnvironment(fs, []string{"SAMPHIREWEIR_LINKRATE=7"}, nil), "6002 unknown variable: SAMPHIREWEIR_LINKRATE")
	require.ErrorContains(t, config.FromEnvironment(fs, []string{"SAMPHIREWEIR_LINK_RATE=x"}, nil), "6001 bad process setting: SAMPHIREWEIR_LINK_RATE")
}

// TestDescribeAddsVariableToHelp guards against flag help that does not name the environment variable.
func TestDescribeAddsVariableToHelp(t *testing.T) {
	fs, _, _ := flags()
	config.AddEnvNames(fs)
	require.Contains(t, fs.Lookup("link-rate").Usage, "SAMPHIREWEIR_LINK_RATE")
}

// TestVariablesOfOtherCommandsAreIgnored guards against a command that fails because the environment also has variables of
// other commands.
func TestVariablesOfOtherCommandsAreIgnored(t *testing.T) {
	fs, name, _ := flags()
	env := []string{"SAMPHIREWEIR_NAME=variable", "SAMPHIREWEIR_ORIGIN=x"}
	require.NoError(t, config.FromEnvironment(fs, env, map[string]bool{"SAMPHIREWEIR_ORIGIN": true}))
	require.Equal(t, "variable", *name)
}

// TestListenAddressesAreValidated guards against a process that starts with an invalid listen address or with two
// listeners on the same address.
func TestListenAddressesAreValidated(t *testing.T) {
	require.NoError(t, config.CheckListen("peers-listen", "10.0.0.5:7070"))
	for _, bad := range []string{"", "7070", "localhost:7070", "10.0.0.5", "10.0.0.5:x"} {
		require.ErrorContains(t, config.CheckListen("peers-listen", bad), "6001 bad process setting: -peers-listen")
	}
	require.NoError(t, config.CheckDistinct("a", "10.0.0.5:0", "b", "10.0.0.5:0"))
	require.ErrorContains(t, config.CheckDistinct("a", "10.0.0.5:1", "b", "10.0.0.5:1"), "6003")
}
