package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/charmbracelet/log"

	"myrtlewinch/internal/consensus"
	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/native/description"
	"myrtlewinch/internal/process"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/settings"
	"myrtlewinch/internal/storage"
	"myrtlewinch/internal/threads"
)

const (
	tickMs    = 50
	answerMs  = 15_000
	lookUpMs  = 2_000
	leaveWait = 300 * time.Millisecond
)

// Daemon is a controller as a process: its machine in a shell, and the pages
// that operators use.
type Daemon struct {
	shell *process.Runtime
	disk  *storage.Store
}

// NewDaemon opens the data folder and makes the controller; nothing runs yet.
func NewDaemon(set settings.Settings, peers, web net.Listener, logger *log.Logger) (*Daemon, error) {
	disk, err := storage.Open(set.Data, set.Site)
	if err != nil {
		return nil, err
	}
	keys := disk.Rows()
	clock := process.NewClock()
	self := protocol.Node{
		Name: set.Name, Address: set.Address, Zone: set.Zone, Part: protocol.RoleController, Incarnation: keys["incarnation"],
	}
	machine, err := New(Settings{Site: set.Site, Self: self, Seeds: set.Seeds, Platform: set.Platform}, keys, clock.NowMs())
	if err != nil {
		disk.Close()
		return nil, err
	}
	d := &Daemon{disk: disk}
	d.shell = process.New(process.Options{Site: set.Site, Self: self, Clock: clock, Log: logger, TickMs: tickMs}, machine, disk, peers, web, d)
	return d, nil
}

// AddTasks adds the controller's duties to a crew.
func (d *Daemon) AddTasks(c *threads.Group) { d.shell.AddTasks(c) }

// Pause makes the controller stand still until it is released.
func (d *Daemon) Pause() (release func()) { return d.shell.Pause() }

// OverrideSync makes its disk behave as a full, failing or stalling one.
func (d *Daemon) OverrideSync(sync func(*os.File) error) { d.disk.OverrideSync(sync) }

// Shutdown steps down before a planned stop, so that the next need not wait.
func (d *Daemon) Shutdown() {
	d.shell.Submit(consensus.Leave{})
	time.Sleep(leaveWait)
}

// ServeHTTP answers operators.
func (d *Daemon) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	pages := map[string]map[string]http.HandlerFunc{
		"/description": {http.MethodGet: d.read, http.MethodPut: d.put, http.MethodPatch: d.put},
		"/history":     {http.MethodGet: d.history},
		"/status":      {http.MethodGet: d.status},
		"/soundness":   {http.MethodGet: d.soundness},
		"/counters":    {http.MethodGet: d.counters},
		"/found":       {http.MethodPost: d.foundSite},
		"/recover":     {http.MethodPost: d.foundSite},
	}
	page, ok := pages[r.URL.Path]
	if !ok {
		errkind.ErrorBody{Kind: errkind.UnknownPage, Detail: r.URL.Path}.Write(w)
		return
	}
	handler, ok := page[r.Method]
	if !ok {
		for method := range page {
			w.Header().Add("Allow", method)
		}
		errkind.ErrorBody{Kind: errkind.WrongMethod, Detail: r.Method + " " + r.URL.Path}.Write(w)
		return
	}
	handler(w, r)
}

func (d *Daemon) ask(r *http.Request, ms int64, input func(id uint64) any) (any, bool) {
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
	defer cancel()
	return d.shell.Call(ctx, input)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func dropped(w http.ResponseWriter, said protocol.Rejection) {
	errkind.ErrorBody{
		Kind: said.Kind, Detail: said.Detail, Faults: said.Faults, Revision: said.Revision, Primary: said.Primary,
	}.Write(w)
}

func (d *Daemon) put(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, description.MaxBytes))
	if err != nil {
		errkind.ErrorBody{Kind: errkind.TooLarge, Detail: fmt.Sprintf("a description may have at most %d bytes", description.MaxBytes)}.Write(w)
		return
	}
	given := strings.Trim(r.Header.Get("If-Match"), `"`)
	if given == "" {
		errkind.ErrorBody{Kind: errkind.MissingBase, Detail: `If-Match: "REVISION" must say which revision this is based on; 0 is none`}.Write(w)
		return
	}
	base, err := strconv.ParseUint(given, 10, 64)
	if err != nil {
		errkind.ErrorBody{Kind: errkind.BadRequest, Detail: "If-Match: " + given + " is not a revision"}.Write(w)
		return
	}
	answer, ok := d.ask(r, answerMs, func(id uint64) any {
		return SubmitDescription{ID: id, Base: base, Text: string(text), Partial: r.Method == http.MethodPatch}
	})
	if !ok {
		errkind.ErrorBody{Kind: errkind.AcceptanceUnknown, Detail: "no outcome in time; read the description to find out"}.Write(w)
		return
	}
	switch said := answer.(type) {
	case DescriptionAccepted:
		w.Header().Set("ETag", fmt.Sprintf("%q", strconv.FormatUint(said.Revision, 10)))
		writeJSON(w, said)
	case protocol.Rejection:
		dropped(w, said)
	}
}

func (d *Daemon) described(w http.ResponseWriter, r *http.Request) (DescriptionReply, bool) {
	answer, ok := d.ask(r, lookUpMs, func(id uint64) any { return Look{ID: id, Page: "description"} })
	said, right := answer.(DescriptionReply)
	if !ok || !right {
		errkind.ErrorBody{Kind: errkind.NotAccepted, Detail: "no answer in time"}.Write(w)
		return said, false
	}
	return said, true
}

func (d *Daemon) read(w http.ResponseWriter, r *http.Request) {
	said, ok := d.described(w, r)
	if !ok {
		return
	}
	// Only the primary knows what is in force; a follower may be late.
	if !said.Authoritative {
		errkind.ErrorBody{Kind: errkind.NotPrimary, Detail: "the primary knows the description in force", Primary: said.Primary}.Write(w)
		return
	}
	if said.Revision.Number == 0 {
		errkind.ErrorBody{Kind: errkind.UnknownPage, Detail: "no description is in force yet"}.Write(w)
		return
	}
	w.Header().Set("ETag", fmt.Sprintf("%q", strconv.FormatUint(said.Revision.Number, 10)))
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, said.Revision.Text)
}

func (d *Daemon) history(w http.ResponseWriter, r *http.Request) {
	if said, ok := d.described(w, r); ok {
		writeJSON(w, map[string]any{"revisions": said.History, "sure": said.Authoritative})
	}
}

func (d *Daemon) status(w http.ResponseWriter, r *http.Request) {
	answer, ok := d.ask(r, lookUpMs, func(id uint64) any { return Look{ID: id, Page: "status"} })
	if !ok {
		errkind.ErrorBody{Kind: errkind.NotAccepted, Detail: "no answer in time"}.Write(w)
		return
	}
	writeJSON(w, answer)
}

// soundness says 200 as long as the machine's thread answers and the disk
// takes writes; it says nothing of the site.
func (d *Daemon) soundness(w http.ResponseWriter, r *http.Request) {
	answer, ok := d.ask(r, lookUpMs, func(id uint64) any { return Look{ID: id, Page: "status"} })
	status, right := answer.(Status)
	if !ok || !right || status.DiskBroken || status.Retired {
		errkind.ErrorBody{Kind: errkind.NotAccepted, Detail: "unsound"}.Write(w)
		return
	}
	writeJSON(w, map[string]any{"sound": true, "role": status.Role, "epoch": status.Record.Epoch})
}

func (d *Daemon) counters(w http.ResponseWriter, _ *http.Request) { writeJSON(w, d.shell.Counts()) }

func (d *Daemon) foundSite(w http.ResponseWriter, r *http.Request) {
	var asked struct {
		Witnesses []string `json:"witnesses"`
		Backup    string   `json:"backup"`
		Change    uint64   `json:"change"`
		Revision  uint64   `json:"revision"`
	}
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, 4096))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&asked); err != nil {
		errkind.ErrorBody{Kind: errkind.BadRequest, Detail: err.Error()}.Write(w)
		return
	}
	answer, ok := d.ask(r, answerMs, func(id uint64) any {
		return consensus.Bootstrap{
			ID: id, Witnesses: asked.Witnesses, Backup: asked.Backup,
			Recover: r.URL.Path == "/recover", Change: asked.Change, Revision: asked.Revision,
		}
	})
	if !ok {
		errkind.ErrorBody{Kind: errkind.AcceptanceUnknown, Detail: "no outcome in time; ask for the status"}.Write(w)
		return
	}
	switch said := answer.(type) {
	case consensus.BootstrapResult:
		writeJSON(w, said)
	case protocol.Rejection:
		dropped(w, said)
	}
}
