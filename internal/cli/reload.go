package cli

import (
	"os"
	"os/signal"
	"syscall"
	"time"

	"samphireweir.example/samphireweir/internal/logevent"
	"samphireweir.example/samphireweir/platform"
)

// settingsPoll is how often the settings file is read: it may change without a signal.
const settingsPoll = 5 * time.Second

// reloads returns the signals to read the settings file again.
func reloads() <-chan os.Signal {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	return reload
}

// watchSettings reads the settings file on SIGHUP and now and then. What a process takes from it is fixed for its life, so a
// change is checked and logged, and in force from the next start on.
func (p *platformProcess) watchSettings(path string, reload <-chan os.Signal) {
	known, err := os.ReadFile(path)
	if err != nil {
		logevent.Warn(p.log, logevent.BadEntry).Err(err).Msg("settings file can't be read")
	}
	for {
		select {
		case <-reload:
		case <-time.After(settingsPoll):
		}
		raw, err := os.ReadFile(path)
		if err != nil || string(raw) == string(known) {
			continue
		}
		known = raw
		if _, err := platform.DecodeSettings(string(raw)); err != nil {
			logevent.Warn(p.log, logevent.BadEntry).Err(err).Msg("changed settings refused")
			continue
		}
		logevent.Info(p.log, logevent.SettingsFileChanged).Msg("settings file changed")
	}
}
