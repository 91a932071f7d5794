package cli

import (
	"bytes"
	"flag"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/google/subcommands"
	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/config"
)

// TestFlagsPageMatchesCommands guards against a docs/FLAGS.md that was not regenerated after a change of a flag.
func TestFlagsPageMatchesCommands(t *testing.T) {
	page, err := os.ReadFile("../../docs/FLAGS.md")
	require.NoError(t, err)
	require.Equal(t, FlagsMarkdown(), string(page))
}

// TestEveryCommandHasHelp checks that each command has a synopsis and an example whose flags exist, and that the help of each flag
// describes it and names its environment variable.
func TestEveryCommandHasHelp(t *testing.T) {
	for _, c := range allCommands() {
		t.Run(c.name, func(t *testing.T) {
			require.NotEmpty(t, c.command.Synopsis())
			require.False(t, strings.HasSuffix(c.command.Synopsis(), "."), "a synopsis has no full stop")
			usage := c.command.Usage()
			first, rest, _ := strings.Cut(strings.ReplaceAll(usage, "\\\n", " "), "\n")
			require.True(t, strings.HasPrefix(first, c.command.Name()), "the usage must begin with the name of the command: %s", first)
			require.Regexp(t, `(?m)^  \S.{10,}`, rest, "the usage must have an indented line that explains the command")
			requireFlagsExist(t, c.command, usage)
			flagsOf(c.command).VisitAll(func(f *flag.Flag) {
				require.Greater(t, len(f.Usage), 20, f.Name)
				require.Contains(t, f.Usage, config.EnvName(f.Name), f.Name)
			})
		})
	}
}

// exampleFlag matches a flag in an example.
var exampleFlag = regexp.MustCompile(`(?:^|[\s\[])-([a-z][a-z-]*)`)

// requireFlagsExist checks that c defines each flag in the examples of usage.
func requireFlagsExist(t *testing.T, c subcommands.Command, usage string) {
	t.Helper()
	fs := flagsOf(c)
	if c.Name() == settingsName {
		return // Its examples are those of its subcommands.
	}
	for _, found := range exampleFlag.FindAllStringSubmatch(usage, -1) {
		require.NotNil(t, fs.Lookup(found[1]), "the example has -%s", found[1])
	}
}

// TestHelpNamesEveryCommand checks that the help of the whole binary lists each command and fits into 120 columns.
func TestHelpNamesEveryCommand(t *testing.T) {
	var b bytes.Buffer
	writeHelp(&b)
	for _, g := range groups() {
		for _, c := range g.commands {
			require.Contains(t, b.String(), "\n  "+c.Name()+" ", c.Name())
		}
	}
	for _, line := range strings.Split(b.String(), "\n") {
		require.LessOrEqual(t, len(line), 120, line)
	}
}

// TestInvalidFlagErrorHasItsCode checks that the errors of package flag are printed with their result code.
func TestInvalidFlagErrorHasItsCode(t *testing.T) {
	for _, args := range [][]string{{"-deadline", "soon"}, {"-no-such-flag"}, {"-name"}, {"-profile=maybe"}} {
		var out bytes.Buffer
		fs := flag.NewFlagSet("entry", flag.ContinueOnError)
		fs.SetOutput(&out)
		(&entryCommand{}).SetFlags(fs)
		fs.Usage = func() {}
		require.Error(t, fs.Parse(args))
		require.Regexp(t, `^samphireweir 6001 bad process setting: .*`+strings.SplitN(args[0], "=", 2)[0], out.String())
	}
}

// validArgs are flags with which a process can start.
var validArgs = []string{"-name", "host-1", "-place", "perth-a", "-region", "west", "-object-api", "http://10.0.0.1:1", "-host-list", "http://10.0.0.1:2", "-secret", "s"}

// startError returns the error of c at start, with args after validArgs and with the environment environ.
func startError(t *testing.T, c subcommands.Command, settings checker, environ []string, args ...string) error {
	t.Helper()
	fs := flagsOf(c)
	require.NoError(t, fs.Parse(append(append([]string{}, validArgs...), args...)))
	return loadFlagsFrom(fs, environ, settings)
}

// invalidStart is a start that must fail; want is part of its error: the code and the field.
type invalidStart struct {
	args    []string
	environ []string
	want    string
}

// invalidStarts are the starts that must fail for each kind of process.
var invalidStarts = []invalidStart{
	{args: []string{"-name", "Host 1"}, want: `6001 bad process setting: -name: "Host 1", want a name`},
	{args: []string{"-place", ""}, want: "6001 bad process setting: -place"},
	{args: []string{"-region", "_"}, want: "6001 bad process setting: -region"},
	{args: []string{"-object-api", "10.0.0.1:1"}, want: "6001 bad process setting: -object-api"},
	{args: []string{"-host-list", "ftp://x"}, want: "6001 bad process setting: -host-list"},
	{args: []string{"-secret", ""}, want: "6001 bad process setting: -secret"},
	{args: []string{"-peers-listen", "localhost:1"}, want: "6001 bad process setting: -peers-listen"},
	{args: []string{"-operators-listen", ":1"}, want: "6001 bad process setting: -operators-listen"},
	{args: []string{"-peers-listen", "10.0.0.5:1", "-operators-listen", "10.0.0.5:1"}, want: "6003 process settings clash: -peers-listen and -operators-listen"},
	{args: []string{"-tls-cert", "c.pem"}, want: "6003 process settings clash: -tls-cert, -tls-key and -tls-ca"},
	{args: []string{"-log-level", "loud"}, want: "6001 bad process setting: -log-level"},
	{args: []string{"-trace-exporter", "file"}, want: "6001 bad process setting: -trace-exporter"},
	{args: []string{"-trace-exporter", "otlp"}, want: "6003 process settings clash: -trace-exporter and -trace-endpoint"},
	{args: []string{"-trace-endpoint", "http://10.0.0.9:1"}, want: "6003 process settings clash"},
	{args: []string{"-trace-ratio", "7"}, want: "6001 bad process setting: -trace-ratio"},
	{args: []string{"extra"}, want: "6001 bad process setting: arguments"},
	{environ: []string{"SAMPHIREWEIR_NAMES=x"}, want: "6002 unknown variable: SAMPHIREWEIR_NAMES"},
	{environ: []string{"SAMPHIREWEIR_TRACE_RATIO=most"}, want: "6001 bad process setting: SAMPHIREWEIR_TRACE_RATIO"},
	{environ: []string{"SAMPHIREWEIR_PROFILE=maybe"}, want: "6001 bad process setting: SAMPHIREWEIR_PROFILE"},
}

// TestInvalidFlagsOfEntriesAreRejected guards against an entry that starts with an invalid flag or variable. The error must name the code,
// the field and a valid value.
func TestInvalidFlagsOfEntriesAreRejected(t *testing.T) {
	own := []invalidStart{
		{args: []string{"-callers-listen", "x"}, want: "6001 bad process setting: -callers-listen"},
		{args: []string{"-callers-listen", "10.0.0.5:1", "-peers-listen", "10.0.0.5:1"}, want: "6003 process settings clash: -callers-listen and -peers-listen"},
		{args: []string{"-callers-listen", "10.0.0.5:1", "-operators-listen", "10.0.0.5:1"}, want: "6003 process settings clash: -callers-listen and -operators-listen"},
		{args: []string{"-deadline", "0s"}, want: "6001 bad process setting: -deadline"},
		{args: []string{"-max-body", "-1"}, want: "6001 bad process setting: -max-body"},
		{args: []string{"-settle", "-1s"}, want: "6001 bad process setting: -settle"},
		{args: []string{"-routing", "best"}, want: "6001 bad process setting: -routing"},
		{environ: []string{"SAMPHIREWEIR_MAX_BODY=big"}, want: "6001 bad process setting: SAMPHIREWEIR_MAX_BODY"},
	}
	c := &entryCommand{}
	require.NoError(t, startError(t, c, &c.config, []string{"SAMPHIREWEIR_ORIGIN=http://10.0.0.1:3", "PATH=/bin"}))
	for _, start := range append(own, invalidStarts...) {
		c := &entryCommand{}
		err := startError(t, c, &c.config, start.environ, start.args...)
		require.ErrorContains(t, err, start.want, "%v %v", start.args, start.environ)
		require.Regexp(t, "want |see ", err.Error())
	}
}

// TestInvalidFlagsOfAgentsAreRejected guards against an agent that starts with an invalid flag or variable. The error must name the code
// and the field.
func TestInvalidFlagsOfAgentsAreRejected(t *testing.T) {
	valid := []string{"-origin", "http://10.0.0.1:3", "-upstreams", "karrakin/summary-model=engine@http://127.0.0.1:4000/e1"}
	own := []invalidStart{
		{args: []string{"-origin", ""}, want: "6003 process settings clash: -weight-store and -origin"},
		{args: []string{"-link-rate", "-1"}, want: "6001 bad process setting: -link-rate"},
		{args: []string{"-chunk-memory", "0"}, want: "6001 bad process setting: -chunk-memory"},
		{args: []string{"-upstreams", ""}, want: "6001 bad process setting: -upstreams"},
		{args: []string{"-upstreams", "karrakin=engine@http://127.0.0.1:1/e1"}, want: "6001 bad process setting: -upstreams"},
		{args: []string{"-upstreams", "karrakin/x=model@http://127.0.0.1:1/e1"}, want: "6001 bad process setting: -upstreams"},
		{args: []string{"-upstreams", "karrakin/x=plain@127.0.0.1:1"}, want: "6001 bad process setting: -upstreams"},
		{args: []string{"-upstreams", "karrakin/x=plain@http://127.0.0.1:1/a,karrakin/y=plain@http://127.0.0.1:2/a"}, want: "6003 process settings clash: -upstreams"},
		{environ: []string{"SAMPHIREWEIR_LINK_RATE=fast"}, want: "6001 bad process setting: SAMPHIREWEIR_LINK_RATE"},
	}
	c := &agentCommand{}
	require.NoError(t, startError(t, c, &c.config, []string{"SAMPHIREWEIR_DEADLINE=1s"}, valid...))
	for _, start := range append(own, invalidStarts...) {
		c := &agentCommand{}
		err := startError(t, c, &c.config, start.environ, append(append([]string{}, valid...), start.args...)...)
		require.ErrorContains(t, err, start.want, "%v %v", start.args, start.environ)
	}
}
