package opcmd

import (
	"fmt"

	"dogwoodrock.example/dogwoodrock/config"
	"dogwoodrock.example/dogwoodrock/platform"
)

// checkSettings checks a settings file: YAML for a daemon on its own, TOML for
// one on the platform.
func (a *App) checkSettings(o *FileArgument) error {
	if o.IsTOML() {
		if _, err := platform.LoadSettings(o.Args.File); err != nil {
			return &UsageError{Reason: err.Error()}
		}
	} else if _, err := config.Load(o.Args.File); err != nil {
		return &UsageError{Reason: err.Error()}
	}
	_, err := fmt.Fprintln(a.Stdout, o.Args.File+": the settings are good")
	return err
}
