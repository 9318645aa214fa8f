// SPDX-License-Identifier: MIT

package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/urfave/cli/v3"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"rackstep.dev/internal/capacity"
)

func capacityCommand() *cli.Command {
	return &cli.Command{
		Name: "capacity", Usage: "measure the resources that entries use and fit a linear model; tools/capacity.sh starts the processes",
		Commands: []*cli.Command{
			{
				Name: "write", Usage: "lay down the settings of a site",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "dir", Usage: "`FOLDER` of the settings", Required: true},
					&cli.IntFlag{Name: "entries", Value: 8}, &cli.IntFlag{Name: "centres", Value: 4}, &cli.IntFlag{Name: "workers", Value: 50},
					&cli.IntFlag{Name: "pools", Value: 5}, &cli.IntFlag{Name: "teams", Value: 4},
				},
				Action: func(_ context.Context, c *cli.Command) error {
					s := capacity.Size{Entries: c.Int("entries"), Centres: c.Int("centres"), Workers: c.Int("workers"), Pools: c.Int("pools"), Teams: c.Int("teams")}
					return s.Write(c.String("dir"))
				},
			},
			{
				Name: "submit", Usage: "give the site jobs that run for half an hour",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "dir", Usage: "`FOLDER` of the settings", Required: true},
					&cli.IntFlag{Name: "jobs", Value: 1000},
				},
				Action: func(ctx context.Context, c *cli.Command) error {
					s, err := capacity.ReadSize(c.String("dir"))
					if err != nil {
						return cli.Exit(err, exitUsage)
					}
					if err := s.Submit(ctx, c.Int("jobs")); err != nil {
						return cli.Exit(err, exitFailed)
					}
					return nil
				},
			},
			{
				Name: "lose", Usage: "take a rack or a data centre out of the list and print the instances",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "dir", Usage: "`FOLDER` of the settings", Required: true},
					&cli.StringFlag{Name: "rack"}, &cli.StringFlag{Name: "centre"},
				},
				Action: loseInstances,
			},
			{
				Name: "sample", Usage: "watch the processes and print one point as JSON",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "dir", Usage: "`FOLDER` of the settings and process ids", Required: true},
					&cli.DurationFlag{Name: "time", Value: 30 * time.Second}, &cli.StringFlag{Name: "load", Value: "idle"},
					&cli.BoolFlag{Name: "from-start", Usage: "count all that the processes have used since they began"},
				},
				Action: func(ctx context.Context, c *cli.Command) error {
					p, err := capacity.Sample(ctx, c.String("dir"), c.String("load"), c.Duration("time"), c.Bool("from-start"))
					if err != nil {
						return cli.Exit(err, exitFailed)
					}
					return json.NewEncoder(os.Stdout).Encode(p)
				},
			},
			{
				Name: "report", Usage: "fit a model to the points in FILE, print the table and draw the plots", ArgsUsage: "FILE",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "plots", Usage: "`FOLDER` for the plots; without it none are drawn"},
					&cli.IntFlag{Name: "entries", Usage: "entries of the size to work out", Value: 32}, &cli.IntFlag{Name: "workers", Usage: "workers of that size", Value: 780},
					&cli.IntFlag{Name: "jobs", Usage: "jobs running at that size", Value: 3400},
				},
				Action: reportCapacity,
			},
		},
	}
}

func loseInstances(ctx context.Context, c *cli.Command) error {
	s, err := capacity.ReadSize(c.String("dir"))
	if err != nil {
		return cli.Exit(err, exitUsage)
	}
	lost, err := s.RemoveInstances(ctx, c.String("rack"), c.String("centre"))
	if err != nil {
		return cli.Exit(err, exitFailed)
	}
	for _, id := range lost {
		fmt.Println(id)
	}
	return nil
}

// readPoints reads the points that 'rackstep capacity sample' printed, one JSON object a line.
func readPoints(name string) ([]capacity.Point, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, cli.Exit(fmt.Errorf("read points: %w", err), exitUsage)
	}
	defer f.Close()
	var points []capacity.Point
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		var p capacity.Point
		if err := json.Unmarshal(lines.Bytes(), &p); err != nil {
			return nil, cli.Exit(fmt.Errorf("read points: line %d of %s: %w", len(points)+1, name, err), exitUsage)
		}
		points = append(points, p)
	}
	return points, lines.Err()
}

// reportCapacity fits each figure to the points without load and prints the points and the fits.
func reportCapacity(_ context.Context, c *cli.Command) error {
	points, err := readPoints(c.Args().First())
	if err != nil {
		return err
	}
	var idle []capacity.Point
	for _, p := range points {
		if p.Load == "idle" {
			idle = append(idle, p)
		}
	}
	at := capacity.Size{Entries: c.Int("entries"), Workers: c.Int("workers")}
	var fits []capacity.Fit
	for _, fig := range capacity.Figures() {
		f, err := capacity.FitPoints(fig, idle)
		if err != nil {
			return cli.Exit(err, exitFailed)
		}
		fits = append(fits, f)
		if dir := c.String("plots"); dir != "" {
			if err := drawFigure(dir, fig, points); err != nil {
				return cli.Exit(err, exitFailed)
			}
		}
	}
	return printAnswer(c, fits, func(w *table) { printFits(w, points, fits, at, c.Int("jobs")) })
}

func printFits(w *table, points []capacity.Point, fits []capacity.Fit, at capacity.Size, jobs int) {
	w.header("LOAD", "ENTRIES", "CENTRES", "WORKERS", "POOLS", "TEAMS", "JOBS", "CPU %", "MOST", "MEMORY MB", "PEERS KB/s", "PLATFORM KB/s", "RECORDS/s")
	for _, p := range points {
		w.row(p.Load, p.Entries, p.Centres, p.Workers, p.Pools, p.Teams, p.Jobs, fmt.Sprintf("%.2f", p.CPU), fmt.Sprintf("%.2f", p.MaxCPU), fmt.Sprintf("%.1f", p.Memory/1e6),
			fmt.Sprintf("%.2f", p.PeerBytes/1e3), fmt.Sprintf("%.2f", p.PlatformBytes/1e3), fmt.Sprintf("%.2f", p.Records))
	}
	w.header("FIGURE", "BASE", "PER ENTRY", "PER WORKER", "PER JOB", "ERROR", fmt.Sprintf("AT %d ENTRIES, %d WORKERS, %d JOBS", at.Entries, at.Workers, jobs), "LIMIT")
	for _, f := range fits {
		limit := "-"
		if f.Figure.Limit > 0 {
			limit = fmt.Sprint(f.Figure.Limit)
		}
		w.row(f.Figure.Name+" "+f.Figure.Unit, fmt.Sprintf("%.3f", f.Base), fmt.Sprintf("%.4f", f.PerEntry), fmt.Sprintf("%.5f", f.PerWorker),
			fmt.Sprintf("%.6f", f.PerJob), fmt.Sprintf("%.3f", f.Error), fmt.Sprintf("%.2f", f.At(at, jobs)), limit)
	}
}

// drawFigure plots the figure against the number of entries, with one line for each number of workers. Points under load or with
// jobs are left out.
func drawFigure(dir string, fig capacity.Figure, points []capacity.Point) error {
	p := plot.New()
	p.Title.Text = fig.Name + " of one entry"
	p.X.Label.Text, p.Y.Label.Text = "entries", fig.Unit
	p.Y.Min = 0
	lines := make(map[int]plotter.XYs)
	var args []any
	for _, x := range points {
		if x.Load != "idle" || x.Jobs > 0 {
			continue
		}
		lines[x.Workers] = append(lines[x.Workers], plotter.XY{X: float64(x.Entries), Y: fig.Value(x)})
	}
	for _, workers := range sortedKeys(lines) {
		args = append(args, fmt.Sprintf("%d workers", workers), lines[workers])
	}
	if err := plotutil.AddLinePoints(p, args...); err != nil {
		return fmt.Errorf("plot %s: %w", fig.Name, err)
	}
	if err := p.Save(14*vg.Centimeter, 9*vg.Centimeter, filepath.Join(dir, "capacity-"+fig.Name+".svg")); err != nil {
		return fmt.Errorf("save the plot of %s: %w", fig.Name, err)
	}
	return nil
}
