// Command madderslip runs one controller of the cluster scheduler.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"madderslip"
)

// Exit statuses.
const (
	exitFailure = 1
	exitConfig  = 2 // the settings, the policy, the environment or the arguments are invalid
)

// configError is an error in the settings, the policy, the environment or the arguments.
type configError struct{ error }

func (e configError) Unwrap() error { return e.error }

func main() {
	if err := command().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "madderslip:", err)
		os.Exit(exitStatus(err))
	}
}

func exitStatus(err error) int {
	var config configError
	if errors.As(err, &config) {
		return exitConfig
	}
	return exitFailure
}

// configFiles are the flags of all subcommands that read a configuration.
type configFiles struct{ settings, policy string }

func (f *configFiles) load() (madderslip.Config, error) {
	if f.settings == "" {
		return madderslip.Config{}, configError{errors.New("--config FILE is needed")}
	}
	cfg, err := madderslip.LoadConfig(f.settings, f.policy)
	if err != nil {
		return cfg, configError{err}
	}
	return cfg, nil
}

func command() *cobra.Command {
	files := &configFiles{}
	root := runCommand(files)
	root.PersistentFlags().StringVar(&files.settings, "config", "", "the platform's settings file (TOML)")
	root.PersistentFlags().StringVar(&files.policy, "policy", "", "operator policy: name = expression, one a line")
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return configError{err} })
	root.AddCommand(checkCommand(files), versionCommand())
	root.SetContext(context.Background())
	return root
}
