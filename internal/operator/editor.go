// Package operator implements the operators' actions on settings (read, preview, apply, roll back, delete) and asks processes for the
// state of the whole system.
package operator

import (
	"context"

	"github.com/pkg/errors"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/weights"
	"samphireweir.example/samphireweir/internal/manifest"
	"samphireweir.example/samphireweir/internal/objectapi"
	"samphireweir.example/samphireweir/internal/setting"
	"samphireweir.example/samphireweir/internal/source"
)

// Editor reads and changes settings in the object API.
type Editor struct {
	// Objects is the client of the object API.
	Objects *objectapi.Client
	// Sources are the sources of weights that resolve versions, in the order in which they are asked.
	Sources []*source.Client
	// Author is recorded in each change.
	Author string
}

// State is a service's setting and its history, as read from the object API.
type State struct {
	// Key is the object's key.
	Key string
	// Version is the object's version; 0 if the object doesn't exist.
	Version uint64
	// Object holds the setting and its history. It is never nil.
	Object *setting.Object
}

// Setting returns the setting, or nil if it doesn't exist or was deleted.
func (s *State) Setting() *setting.Setting {
	if s.Version == 0 || s.Object.Deleted {
		return nil
	}
	return &s.Object.Setting
}

// Read reads a service's setting and its history. A setting that doesn't exist is no error; its state has version 0. If the object API
// doesn't answer, the error has code PlatformDown.
func (e *Editor) Read(ctx context.Context, team, service string) (*State, error) {
	key := setting.Key(team, service)
	item, err := e.Objects.Get(ctx, key)
	if errors.Is(err, objectapi.ErrNotFound) {
		return &State{Key: key, Object: &setting.Object{}}, nil
	}
	if err != nil {
		return nil, code.Errorf(code.PlatformDown, key, "read failed: %v", err)
	}
	return stateOf(item)
}

// stateOf decodes an object of the object API.
func stateOf(item objectapi.Item) (*State, error) {
	s := &State{Key: item.Key, Version: item.Version, Object: &setting.Object{}}
	if item.Version == 0 {
		return s, nil
	}
	var err error
	s.Object, err = setting.ParseObject(item.Value)
	return s, errors.Wrapf(err, "decode %s", item.Key)
}

// Resolve returns the digest of the version of weights that s names. If no source has it, the error has code VersionUnknown.
func (e *Editor) Resolve(ctx context.Context, s *setting.Setting) (string, error) {
	m, digest, err := e.manifest(ctx, s)
	if m == nil {
		return "", err
	}
	return digest, err
}

// Size returns the size in bytes of the version of weights that s names. If no source has it, the error has code VersionUnknown.
func (e *Editor) Size(ctx context.Context, s *setting.Setting) (int64, error) {
	m, _, err := e.manifest(ctx, s)
	if err != nil {
		return 0, err
	}
	return m.Size, nil
}

// manifest returns the manifest of the version that s names and its digest, from the first source that has it.
func (e *Editor) manifest(ctx context.Context, s *setting.Setting) (*manifest.Manifest, string, error) {
	ref := weights.Ref{Model: s.Model, Adapter: s.Adapter, Version: s.Version}
	var lastErr error
	for _, src := range e.Sources {
		raw, err := src.Manifest(ctx, ref)
		if err != nil {
			lastErr = err
			continue
		}
		m, err := manifest.Parse(raw)
		if err != nil {
			return nil, "", err
		}
		return m, manifest.Digest(raw), nil
	}
	return nil, "", code.Errorf(code.VersionUnknown, "version",
		"neither weight store nor origin has %s/%s/%s (last answer: %v); want a version that was uploaded", s.Model, s.Adapter, s.Version, lastErr)
}

// Apply puts s in force on condition that the present version is seen; otherwise the error has code SettingConflict. For an engine it
// resolves the version of weights first and sets the digest of s.
func (e *Editor) Apply(ctx context.Context, team, service string, s *setting.Setting, seen uint64) (Applied, error) {
	if s.Kind == setting.Engine {
		digest, err := e.Resolve(ctx, s)
		if err != nil {
			return Applied{}, err
		}
		s.Digest = digest
	}
	return e.change(ctx, team, service, s, seen)
}

// Rollback puts the setting of the earlier version to in force again, with the digest that it had then, on condition that the present
// version is seen. If the history doesn't hold that setting in full, the error has code SettingMissing.
func (e *Editor) Rollback(ctx context.Context, team, service string, to, seen uint64) (Applied, error) {
	present, err := e.Read(ctx, team, service)
	if err != nil {
		return Applied{}, err
	}
	past, ok := present.Object.HistoryAt(to)
	if !ok || past.Setting == nil {
		return Applied{}, code.Errorf(code.SettingMissing, present.Key,
			"the history doesn't hold version %d in full; `settings history` lists the versions that it holds", to)
	}
	return e.change(ctx, team, service, past.Setting, seen)
}

// Delete takes a setting out of force on condition that the present version is seen. A tombstone that holds the history replaces it.
func (e *Editor) Delete(ctx context.Context, team, service string, seen uint64) (Applied, error) {
	present, err := e.Read(ctx, team, service)
	if err != nil {
		return Applied{}, err
	}
	if present.Setting() == nil && present.Version == seen {
		return Applied{}, code.Errorf(code.SettingMissing, present.Key, "there is no such setting")
	}
	return e.change(ctx, team, service, nil, seen)
}
