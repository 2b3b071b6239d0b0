package main

import (
	"github.com/spf13/cobra"

	"madderslip/internal/loadtest"
)

func siteCommand() *cobra.Command {
	var factors loadtest.SiteFactors
	site := &cobra.Command{
		Use:   "site IN OUT",
		Short: "Writes a copy of a site file with higher counts",
		Args:  cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, files []string) error {
			return loadtest.ScaleSiteFile(files[0], files[1], factors)
		},
	}
	site.Flags().Float64Var(&factors.Counts, "counts", 1, "factor of machines, jobs at the start and arrivals")
	site.Flags().Float64Var(&factors.StateRates, "state", 1, "factor of the state service's rates")
	return site
}
