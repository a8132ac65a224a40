// Command sycamoretally runs every role of the system and is the command line for
// operators and callers.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/spf13/cobra"
	"k8s.io/klog/v2"
)

func main() {
	if err := rootCommand().ExecuteContext(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		os.Exit(exitCode(err))
	}
}

func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "sycamoretally",
		Short:         "Online and batch inference on one fleet",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	logFlags := flag.NewFlagSet("log", flag.ContinueOnError)
	klog.InitFlags(logFlags)
	root.PersistentFlags().AddGoFlag(logFlags.Lookup("v"))
	root.PersistentFlags().String("config", "", "settings file in TOML")
	root.AddCommand(
		entryCommand(), sidecarCommand(), standInCommand(), gatewayCommand(), batcherCommand(), nodeCommand(), configCommand(), explainCommand(),
		applyCommand(), diffCommand(), getCommand(), historyCommand(), rollbackCommand(),
		drainCommand(), undrainCommand(), statusCommand(), timelineCommand(), jobCommand(),
		settingsCommand(), demoCommand(), loadCommand(),
	)
	return root
}
