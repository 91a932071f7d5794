package cli

import (
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/operator"
	"samphireweir.example/samphireweir/internal/setting"
)

// codeOf returns the result code of err, or 0 if it has none.
func codeOf(err error) code.Code {
	var coded *code.Error
	if errors.As(err, &coded) {
		return coded.Code
	}
	return 0
}

// TestChangeOfAnotherTeamRequiresItsName guards against an accidental change of another team's setting.
func TestChangeOfAnotherTeamRequiresItsName(t *testing.T) {
	c := change{target: target{objectAPI: "http://10.0.0.5:7000", asTeam: "karrakin", team: "harrowgate", service: "draftbench"}}
	require.Equal(t, code.OtherTeam, codeOf(c.Check()))
	c.otherTeam = "harrowgate"
	require.NoError(t, c.Check())
	c.team, c.otherTeam = "", ""
	require.NoError(t, c.Check(), "the operator's own team is the default")
	require.Equal(t, "settings/karrakin/draftbench", c.key())
	c.wait = true
	require.Equal(t, code.ConflictingSettings, codeOf(c.Check()))
}

// TestApplyRequiresTheVersionSeen guards against an apply that overwrites changes unseen, because the file names no version and the present
// one is assumed.
func TestApplyRequiresTheVersionSeen(t *testing.T) {
	state := &operator.State{Key: "settings/t/s", Version: 7, Object: &setting.Object{Setting: setting.Setting{Kind: setting.Plain}}}
	_, err := (&applyCommand{}).seen(state, &setting.File{})
	require.Equal(t, code.SettingConflict, codeOf(err))
	five := uint64(5)
	seen, err := (&applyCommand{}).seen(state, &setting.File{IfVersion: &five})
	require.NoError(t, err)
	require.Equal(t, five, seen, "the version in the file, not the present one")
	seen, err = (&applyCommand{}).seen(&operator.State{Object: &setting.Object{}}, &setting.File{})
	require.NoError(t, err)
	require.Zero(t, seen, "a service without a setting needs no version")
}
