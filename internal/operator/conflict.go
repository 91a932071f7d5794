package operator

import (
	"fmt"
	"strings"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/setting"
)

// statesSince returns the states after version, the latest first, including the present one.
func statesSince(s *State, version uint64) []setting.HistoryEntry {
	if s.Version <= version {
		return nil
	}
	present := setting.HistoryEntry{
		Version: s.Version, Change: s.Object.Change, Author: s.Object.Author, At: s.Object.At, Deleted: s.Object.Deleted,
	}
	if !s.Object.Deleted {
		present.Setting = &s.Object.Setting
	}
	list := []setting.HistoryEntry{present}
	for _, p := range s.Object.History {
		if p.Version > version {
			list = append(list, p)
		}
	}
	return list
}

// conflictError returns a SettingConflict error that lists what others changed since the version that the operator saw.
func conflictError(present *State, seen uint64) error {
	if present.Version == 0 {
		return code.Errorf(code.SettingConflict, present.Key, "you saw version %d, but the setting doesn't exist any more; nothing was changed", seen)
	}
	var text strings.Builder
	fmt.Fprintf(&text, "you saw version %d, but the present version is %d; your change was not made. Changes since then:", seen, present.Version)
	before, known := present.Object.HistoryAt(seen)
	list := statesSince(present, seen)
	for i := len(list) - 1; i >= 0; i-- {
		fmt.Fprintf(&text, "\n  version %d by %s at %s", list[i].Version, orNotRecorded(list[i].Author), orNotRecorded(list[i].At))
		if known || seen == 0 {
			text.WriteString(FormatChanges(setting.Diff(before.Setting, list[i].Setting), "\n    "))
		}
		before, known = list[i], list[i].Setting != nil || list[i].Deleted
	}
	fmt.Fprintf(&text, "\n  Read the setting with `settings get`, repeat your change and apply it with -if-version %d.", present.Version)
	return code.Errorf(code.SettingConflict, present.Key, "%s", text.String())
}

// orNotRecorded returns s, or a placeholder if s is empty.
func orNotRecorded(s string) string {
	if s == "" {
		return "(not recorded)"
	}
	return s
}

// FormatChanges formats each change as "field: old -> new", preceded by the separator.
func FormatChanges(changes []setting.FieldChange, separator string) string {
	var text strings.Builder
	for _, c := range changes {
		fmt.Fprintf(&text, "%s%s: %s -> %s", separator, c.Field, c.From, c.To)
	}
	return text.String()
}

// History returns the present and the earlier states of a setting, the latest first; nil if it never existed.
func History(s *State) []setting.HistoryEntry {
	if s.Version == 0 {
		return nil
	}
	return statesSince(s, 0)
}
