package main

import (
	"fmt"

	"github.com/spf13/cobra"
)

func checkCommand(files *configFiles) *cobra.Command {
	return &cobra.Command{
		Use:   "check",
		Short: "Check the settings and the policy, start nothing",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg, err := files.load()
			if err != nil {
				return err
			}
			for _, warning := range cfg.Settings.Warnings {
				fmt.Fprintln(cmd.ErrOrStderr(), "madderslip: doubtful: "+warning)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "ok: node %s, %d peers, K=%d\n",
				cfg.Settings.NodeName, len(cfg.Settings.Peers), cfg.Policy.ShardsPerJob)
			return nil
		},
	}
}
