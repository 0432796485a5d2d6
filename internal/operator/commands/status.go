package commands

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/dragonflydeal/dragonflydeal/internal/operator/audit"
	"github.com/dragonflydeal/dragonflydeal/internal/wire/transport"
)

const (
	// statusTimeout bounds the requests to one process.
	statusTimeout = 2 * time.Second
	// maxStatusBytes bounds the bytes that are read of an answer; a longer one fails to decode.
	maxStatusBytes = 16 << 20
)

// statusCommand reads the status of processes at their operators' addresses.
type statusCommand struct {
	Addresses []netip.AddrPort `arg:"positional,required" placeholder:"ADDRESS" help:"operators' address such as 10.1.0.11:7401"`
	JSON      bool             `arg:"--json" help:"print everything as JSON"`
	Changes   int              `arg:"--changes" placeholder:"NUMBER" help:"also print the newest changes of each process"`
}

// processStatus holds the answers of one process.
type processStatus struct {
	// Address is the operators' address.
	Address netip.AddrPort `json:"address"`
	// Error is the reason why the process could not be read, or empty.
	Error string `json:"error,omitempty"`
	// Status is the process's answer.
	Status json.RawMessage `json:"status,omitempty"`
	// Changes are the latest changes, the oldest first.
	Changes []audit.Change `json:"changes,omitempty"`

	// summary holds the part of Status that the table shows.
	summary summary
}

// summary is the part of the status of an entry or a slot that the table shows.
type summary struct {
	Name        string `json:"name"`
	Revision    int64  `json:"revision"`
	Stopping    bool   `json:"stopping"`
	Requests    int    `json:"requests"`
	Incarnation uint64 `json:"incarnation"`
	State       string `json:"state"`
	Running     int    `json:"running"`
	Queued      int    `json:"queued"`
	Targets     []struct {
		Name  string `json:"name"`
		State string `json:"state"`
	} `json:"targets"`
}

func (c *statusCommand) run(ctx context.Context, stdout, _ io.Writer) error {
	processes := make([]processStatus, len(c.Addresses))
	var wg sync.WaitGroup
	for i, address := range c.Addresses {
		wg.Go(func() { processes[i] = c.read(ctx, address) })
	}
	wg.Wait()
	if err := c.print(processes, stdout); err != nil {
		return err
	}
	unreachable := 0
	for i := range processes {
		if processes[i].Error != "" {
			unreachable++
		}
	}
	if unreachable > 0 {
		return fmt.Errorf("%d of %d processes can't be read", unreachable, len(processes))
	}
	return nil
}

// read queries one process.
func (c *statusCommand) read(ctx context.Context, address netip.AddrPort) (p processStatus) {
	p.Address = address
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	if err := get(ctx, address, "/status", &p.Status); err != nil {
		p.Error = err.Error()
		return p
	}
	if err := json.Unmarshal(p.Status, &p.summary); err != nil {
		p.Error = err.Error()
		return p
	}
	if c.Changes <= 0 {
		return p
	}
	if err := get(ctx, address, "/audit", &p.Changes); err != nil {
		p.Error = err.Error()
	}
	p.Changes = p.Changes[max(0, len(p.Changes)-c.Changes):]
	return p
}

// get sends a GET request to an operators' address and decodes the JSON answer.
func get(ctx context.Context, address netip.AddrPort, path string, into any) (err error) {
	defer func() {
		if err != nil {
			err = merry.Prependf(err, "GET %s", path)
		}
	}()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+path, nil)
	if err != nil {
		return err
	}
	client := &http.Client{Transport: transport.New(&http.Transport{DisableKeepAlives: true})}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return transport.DecodeJSON(response, maxStatusBytes, into)
}

func (c *statusCommand) print(processes []processStatus, stdout io.Writer) error {
	if c.JSON {
		encoder := json.NewEncoder(stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(processes)
	}
	w := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ADDRESS\tNAME\tROLE\tSTATE\tREVISION\tRUNNING\tQUEUED\tTARGETS")
	for i := range processes {
		processes[i].writeRow(w)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for i := range processes {
		for _, change := range processes[i].Changes {
			fmt.Fprintf(stdout, "%s %s %s %v\n", change.Time.Format(time.RFC3339Nano), processes[i].summary.Name, change.Kind, change.Values)
		}
	}
	return nil
}

// writeRow writes the table row of one process.
func (p *processStatus) writeRow(w io.Writer) {
	s := &p.summary
	switch {
	case p.Error != "":
		fmt.Fprintf(w, "%s\t-\t-\tunreachable\t-\t-\t-\t%s\n", p.Address, p.Error)
	case s.Incarnation != 0: // only a slot reports it
		fmt.Fprintf(w, "%s\t%s\tslot\t%s\t%d\t%d\t%d\t-\n", p.Address, s.Name, s.State, s.Revision, s.Running, s.Queued)
	default:
		fmt.Fprintf(w, "%s\t%s\tentry\t%s\t%d\t%d\t-\t%s\n", p.Address, s.Name, s.entryState(), s.Revision, s.Requests, s.targets())
	}
}

func (s *summary) entryState() string {
	switch {
	case s.Stopping:
		return "stopping"
	case s.Revision == 0:
		return "starting"
	}
	return "serving"
}

// targets returns a text on how many of an entry's targets are serving.
func (s *summary) targets() string {
	serving := 0
	for _, t := range s.Targets {
		if t.State == "serving" {
			serving++
		}
	}
	return fmt.Sprintf("%d of %d serving", serving, len(s.Targets))
}
