package cli

import (
	"os"
	"os/signal"
	"syscall"
	"time"

	"samphireweir.example/samphireweir/internal/logevent"
	"samphireweir.example/samphireweir/platform"
)

// settingsPollInterval is how often the settings file is read, since it can change without a signal.
const settingsPollInterval = 5 * time.Second

// notifyReload returns a channel that receives SIGHUP, the signal to read the settings file again. From then on SIGHUP no longer terminates
// the process.
func notifyReload() <-chan os.Signal {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	return reload
}

// watchSettings reads the settings file on SIGHUP and every settingsPollInterval. A process applies the settings at its start only, so a
// change is validated and logged, and takes effect at the next start.
func (p *platformProcess) watchSettings(path string, reload <-chan os.Signal) {
	last, err := os.ReadFile(path)
	if err != nil {
		logevent.Warn(p.log, logevent.MalformedObject).Err(err).Msg("failed to read settings file")
	}
	for {
		select {
		case <-reload:
		case <-time.After(settingsPollInterval):
		}
		raw, err := os.ReadFile(path)
		if err != nil || string(raw) == string(last) {
			continue
		}
		last = raw
		if _, err := platform.DecodeSettings(string(raw)); err != nil {
			logevent.Warn(p.log, logevent.MalformedObject).Err(err).Msg("changed settings file is invalid")
			continue
		}
		logevent.Info(p.log, logevent.SettingsFileChanged).Msg("settings file changed")
	}
}
