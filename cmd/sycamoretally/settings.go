package main

import (
	"fmt"
	"io"

	"github.com/pelletier/go-toml/v2"
	"github.com/spf13/cobra"

	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/settings"
)

func settingsCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "settings", Short: "Work with settings files"}
	cmd.AddCommand(settingsCheckCommand(), settingsShowCommand())
	return cmd
}

// checkedFile is what settings check prints as JSON.
type checkedFile struct {
	File string        `json:"file"`
	Role settings.Role `json:"role"`
}

func settingsCheckCommand() *cobra.Command {
	return addOutputFlag(&cobra.Command{
		Use:   "check FILE",
		Short: "Report every fault of a settings file at once",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := settings.Load(args[0])
			if err != nil {
				return err
			}
			return printOutput(cmd, checkedFile{args[0], s.Role}, func(w io.Writer) error {
				_, err := fmt.Fprintf(w, "%s: role %s, no faults\n", args[0], s.Role)
				return err
			})
		},
	}, outputText, outputJSON)
}

func settingsShowCommand() *cobra.Command {
	return addOutputFlag(&cobra.Command{
		Use:   "show FILE",
		Short: "Print the values in force, defaults among them, with secrets masked",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := settings.Load(args[0])
			if err != nil {
				return err
			}
			masked := s.Masked()
			return printOutput(cmd, masked, func(w io.Writer) error {
				if err := toml.NewEncoder(w).Encode(masked); err != nil {
					return protocol.ErrInternal.Wrap(err, "print")
				}
				return nil
			})
		},
	}, outputText, outputJSON)
}
