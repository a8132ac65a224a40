package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/user"
	"text/tabwriter"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/spf13/cobra"

	"github.com/sycamoretally/sycamoretally/client"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/settings"
	"github.com/sycamoretally/sycamoretally/timeline"
)

func clientFor(cmd *cobra.Command) (*client.Client, error) {
	s, err := loadFor(cmd, settings.RoleClient)
	if err != nil {
		return nil, err
	}
	return client.New(s.Client), nil
}

func printJSON(cmd *cobra.Command, v any) error {
	out := json.NewEncoder(cmd.OutOrStdout())
	out.SetIndent("", "  ")
	if err := out.Encode(v); err != nil {
		return protocol.ErrInternal.Wrap(err, "print")
	}
	return nil
}

// objectFile is a file of configuration objects.
type objectFile struct {
	Objects []objectInFile `toml:"object"`
}

// objectInFile is an object whose base may be left out: then the current
// version is read and used.
type objectInFile struct {
	protocol.Object
	Base *protocol.Position `toml:"base"`
}

func readObjects(path string) ([]objectInFile, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, settings.ErrSettings.Wrap(err, "read objects")
	}
	var file objectFile
	dec := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	if err := dec.Decode(&file); err != nil {
		return nil, protocol.ErrBadRequest.New("%s: %v", path, err)
	}
	return file.Objects, nil
}

func applyCommand() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "apply -f FILE",
		Short: "Publish configuration objects, all or none",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := clientFor(cmd)
			if err != nil {
				return err
			}
			read, err := readObjects(path)
			if err != nil {
				return err
			}
			objects, err := withBases(cmd, c, read)
			if err != nil {
				return err
			}
			answer, err := c.Apply(cmd.Context(), operatorName(), objects)
			if err != nil {
				return err
			}
			_, _ = fmt.Fprintf(cmd.OutOrStdout(), "accepted at version %s\n", answer.Version)
			return nil
		},
	}
	cmd.Flags().StringVarP(&path, "file", "f", "", "file of objects in TOML")
	_ = cmd.MarkFlagRequired("file")
	return cmd
}

func withBases(cmd *cobra.Command, c *client.Client, read []objectInFile) ([]protocol.Object, error) {
	objects := make([]protocol.Object, 0, len(read))
	for _, r := range read {
		o := r.Object
		if r.Base != nil {
			o.Base = *r.Base
			objects = append(objects, o)
			continue
		}
		current, err := c.Objects(cmd.Context(), string(o.Kind), o.Name)
		if err != nil {
			return nil, err
		}
		if len(current) == 1 {
			o.Base = current[0].Version
		}
		objects = append(objects, o)
	}
	return objects, nil
}

func operatorName() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

func getCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "get [KIND [NAME]]",
		Short: "Print configuration objects with their versions",
		Args:  cobra.MaximumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := clientFor(cmd)
			if err != nil {
				return err
			}
			args = append(args, "", "")
			objects, err := c.Objects(cmd.Context(), args[0], args[1])
			if err != nil {
				return err
			}
			return printJSON(cmd, objects)
		},
	}
}

func statusCommand() *cobra.Command {
	var output string
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Print the targets and their state",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := clientFor(cmd)
			if err != nil {
				return err
			}
			s, err := c.Status(cmd.Context())
			if err != nil {
				return err
			}
			if output == "json" {
				return printJSON(cmd, s)
			}
			w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
			_, _ = fmt.Fprintf(w, "entry %s, configuration %s, %d running jobs\n", s.Instance, s.Config, s.Jobs)
			_, _ = fmt.Fprintln(w, "TARGET\tDATA CENTRE\tSTATE\tSLOTS\tONLINE\tBATCH\tQUEUED")
			for _, t := range s.Targets {
				_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\n", t.Name, t.DataCentre, t.State, t.Slots, t.Online, t.Batch, t.Queued)
			}
			return w.Flush()
		},
	}
	cmd.Flags().StringVarP(&output, "output", "o", "text", "text or json")
	return cmd
}

func timelineCommand() *cobra.Command {
	var trace, output string
	var since time.Duration
	cmd := &cobra.Command{
		Use:   "timeline",
		Short: "Print the merged events of all processes",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := clientFor(cmd)
			if err != nil {
				return err
			}
			args := protocol.EventsArgs{Trace: trace}
			if since > 0 {
				args.SinceUnixMillis = time.Now().Add(-since).UnixMilli()
			}
			t, err := c.Timeline(cmd.Context(), args)
			if err != nil {
				return err
			}
			if output == "json" {
				return printJSON(cmd, t)
			}
			for _, e := range t.Events {
				at := time.UnixMilli(timeline.WallMillis(e.Clock)).UTC().Format("15:04:05.000")
				_, _ = fmt.Fprintf(cmd.OutOrStdout(), "%s instance=%s trace=%s event=%q fields=%v\n", at, e.Instance, e.Trace, e.Name, e.Fields)
			}
			for _, m := range t.Missing {
				_, _ = fmt.Fprintf(cmd.OutOrStdout(), "missing: %s did not answer\n", m)
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&trace, "trace", "", "only events of this trace")
	cmd.Flags().DurationVar(&since, "since", 0, "only events of this long ago or later")
	cmd.Flags().StringVarP(&output, "output", "o", "text", "text or json")
	return cmd
}

func settingsCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "settings", Short: "Work with settings files"}
	cmd.AddCommand(&cobra.Command{
		Use:   "check FILE",
		Short: "Report every fault of a settings file at once",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := settings.Load(args[0])
			if err != nil {
				return err
			}
			_, _ = fmt.Fprintf(cmd.OutOrStdout(), "%s: role %s, no faults\n", args[0], s.Role)
			return nil
		},
	})
	return cmd
}
