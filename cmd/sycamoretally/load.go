package main

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/sycamoretally/sycamoretally/load"
)

func loadCommand() *cobra.Command {
	var path, dir string
	cmd := &cobra.Command{
		Use:   "load --scenario FILE --out DIR",
		Short: "Run a load scenario against one or more policies, side by side",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := load.LoadScenario(path)
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), s.Limit())
			defer cancel()
			result, err := load.Run(ctx, s)
			if err != nil {
				return err
			}
			if dir != "" {
				if err := result.WriteFiles(dir); err != nil {
					return err
				}
			}
			return result.WriteTable(cmd.OutOrStdout())
		},
	}
	cmd.Flags().StringVar(&path, "scenario", "", "scenario file in TOML")
	cmd.Flags().StringVar(&dir, "out", "", "directory for the table, JSON and plots")
	_ = cmd.MarkFlagRequired("scenario")
	return cmd
}
