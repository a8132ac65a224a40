package main

import (
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"github.com/sycamoretally/sycamoretally/settings"
	"github.com/sycamoretally/sycamoretally/standin/engine"
	"github.com/sycamoretally/sycamoretally/standin/instancelist"
	"github.com/sycamoretally/sycamoretally/standin/logservice"
	"github.com/sycamoretally/sycamoretally/standin/service"
	"github.com/sycamoretally/sycamoretally/standin/weightstore"
)

func standInCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "standin", Short: "Run a stand-in for a part of the platform, for tests"}
	cmd.AddCommand(
		standInFor("log", settings.RoleStandInLog, func(s settings.StandIn) http.Handler {
			p := logservice.Params{AppendsPerSecond: s.Log.AppendsPerSecond, Retention: time.Duration(s.Log.Retention)}
			return logservice.New(p).Handler()
		}),
		standInFor("list", settings.RoleStandInList, func(s settings.StandIn) http.Handler {
			return instancelist.New(time.Duration(s.List.Lag), s.List.Instances).Handler()
		}),
		standInFor("store", settings.RoleStandInStore, func(s settings.StandIn) http.Handler {
			return weightstore.New(s.Store.FetchesPerSecond, s.Store.Burst, s.Store.SizeBytes).Handler()
		}),
		standInFor("engine", settings.RoleStandInEngine, func(s settings.StandIn) http.Handler {
			return engine.New(engineParams(s.Engine)).Handler()
		}),
		standInFor("service", settings.RoleStandInPlain, func(s settings.StandIn) http.Handler {
			svc := service.New()
			svc.SetFaults(service.Faults{DelayMillis: s.Service.DelayMillis})
			return svc.Handler()
		}),
	)
	return cmd
}

func standInFor(name string, role settings.Role, handler func(settings.StandIn) http.Handler) *cobra.Command {
	return &cobra.Command{
		Use:  name,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := loadSettings(cmd, role)
			if err != nil {
				return err
			}
			return serve(notifySignals(), &standIn{address: s.StandIn.Listen, handler: handler(s.StandIn)})
		},
	}
}

func engineParams(e settings.StandInEngine) engine.Params {
	return engine.Params{
		Width:       e.Width,
		TokenTime:   time.Duration(e.TokenTime),
		PrefillTime: time.Duration(e.PrefillTime),
		CacheTokens: e.CacheTokens,
		ReportLag:   time.Duration(e.ReportLag),
		ChecksFence: e.ChecksFence,
		RestartTime: time.Duration(e.RestartTime),
		LoadTime:    time.Duration(e.LoadTime),
	}
}
