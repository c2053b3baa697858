package main

import (
	"fmt"
	"net/http"
	"slices"
	"sort"
	"sync"
	"time"
)

// machineType is an entry of the cloud's catalogue.
type machineType struct {
	name              string
	cores, memoryGB   float64
	localGB, pullRate float64
	rate, lowPrice    float64
	readyS            float64
	zones             []string
	boot              time.Duration // until a machine is up
	ordinary, cheap   int           // machines that each zone has of either kind
}

// machine is a machine of the cloud.
type machine struct {
	id, zone string
	breed    *machineType
	borrowed bool
	rentedAt time.Time
	upAt     time.Time
	status   string // starting, running, failed; "gone"
	changed  time.Time
	worker   *worker
	taken    bool // the cloud has taken it back, and rents it to nobody here
}

// cloud is a stand-in for the cloud.
type cloud struct {
	mu        sync.Mutex
	r         *rig
	types     []*machineType
	machines  []*machine
	asks      map[string][]string
	calls     bucket
	listLag   time.Duration
	fullZones []string // zones without further ordinary machines
	number    int
	// nextName chooses the number in a machine's name, at least the given one; nil: the given one.
	nextName func(atLeast int) int
}

func newCloud(r *rig, s *settings) *cloud {
	return &cloud{
		r: r, types: s.types, asks: map[string][]string{}, number: 1,
		calls:   bucket{rate: s.cloudRPS, tokens: 2 * s.cloudRPS, filled: time.Now()},
		listLag: time.Duration(s.listLagS * float64(time.Second)),
	}
}

func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.calls.take(1) {
		replyError(w, 429, "too many requests")
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /catalog":
		c.catalog(w)
	case "POST /rentals":
		c.rent(w, r)
	case "POST /rentals/delete":
		c.delete(w, r)
	case "GET /rentals":
		c.list(w, r.URL.Query().Get("from"))
	default:
		replyError(w, 400, "malformed")
	}
}

func (c *cloud) catalog(w http.ResponseWriter) {
	breeds := []any{}
	for _, t := range c.types {
		breeds = append(breeds, object{
			"name": t.name, "cores": t.cores, "accelerators": 0.0, "memory_gb": t.memoryGB, "local_gb": t.localGB,
			"pull_gb_per_s": t.pullRate, "rate": t.rate, "low_price": t.lowPrice, "ready_s": t.readyS, "groves": t.zones,
		})
	}
	reply(w, 200, object{"breeds": breeds})
}

func (c *cloud) rent(w http.ResponseWriter, r *http.Request) {
	request, ok := readObject(r)
	ask, number := textOf(request, "ask"), int(uintOf(request, "number"))
	var breed *machineType
	for _, t := range c.types {
		if t.name == textOf(request, "breed") && slices.Contains(t.zones, textOf(request, "grove")) {
			breed = t
		}
	}
	if !ok || ask == "" || breed == nil || number < 1 || number > 50 {
		replyError(w, 400, "malformed")
		return
	}
	if names, known := c.asks[ask]; known {
		reply(w, 200, object{"trees": names})
		return
	}
	zone, borrowed := textOf(request, "grove"), flag(request, "borrowed")
	free := breed.ordinary
	if slices.Contains(c.fullZones, textOf(request, "grove")) {
		free = 0
	}
	if borrowed {
		free = breed.cheap
	}
	for _, m := range c.machines {
		if m.breed == breed && m.zone == zone && m.borrowed == borrowed && (m.status != "gone" || m.taken) {
			free--
		}
	}
	if free <= 0 {
		c.r.event("cloud refuses %s: no capacity for %d %s in %s, borrowed %v", ask, number, breed.name, zone, borrowed)
		replyError(w, 503, "no capacity")
		return
	}
	names := []string{}
	for range min(number, free) {
		if c.nextName != nil {
			c.number = c.nextName(c.number)
		}
		m := &machine{
			id: fmt.Sprintf("i-%06d", c.number), zone: zone, breed: breed, borrowed: borrowed, rentedAt: time.Now(),
			status: "starting", changed: time.Now(),
		}
		c.number++
		c.machines = append(c.machines, m)
		names = append(names, m.id)
		c.r.event("cloud rents %s (%s in %s, borrowed %v) for %s", m.id, breed.name, zone, borrowed, ask)
		time.AfterFunc(breed.boot, func() { c.boot(m) })
	}
	c.asks[ask] = names
	reply(w, 200, object{"trees": names})
}

func (c *cloud) boot(m *machine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m.status != "starting" {
		return
	}
	m.status, m.changed, m.upAt = "running", time.Now(), time.Now()
	m.worker = startWorker(c.r, m)
	c.r.event("%s is up", m.id)
}

func (c *cloud) delete(w http.ResponseWriter, r *http.Request) {
	request, ok := readObject(r)
	names := textsOf(request, "trees")
	if !ok || len(names) > 100 {
		replyError(w, 400, "malformed")
		return
	}
	for _, name := range names {
		for _, m := range c.machines {
			if m.id == name && m.status != "gone" {
				c.end(m, "gone")
				c.r.event("cloud deletes %s", m.id)
			}
		}
	}
	reply(w, 200, object{})
}

// end ends a machine with everything on it.
func (c *cloud) end(m *machine, status string) {
	m.status, m.changed = status, time.Now()
	if m.worker != nil {
		m.worker.end()
	}
}

// die stops a machine with all that is on it. The list shows it as running for 30 s, then as failed.
func (c *cloud) die(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		if m.id == id && m.status == "running" {
			c.r.event("TROUBLE: %s stops with all that is on it", id)
			c.end(m, "failed")
		}
	}
}

// takeBack takes a cheap machine back, without a notice.
func (c *cloud) takeBack(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		if m.id == id && m.status == "running" {
			c.r.event("TROUBLE: the cloud takes %s back without a notice", id)
			c.end(m, "gone")
			m.taken = true
		}
	}
}

const diesUnseen = 30 * time.Second

func (c *cloud) list(w http.ResponseWriter, from string) {
	asOf := time.Now().Add(-c.listLag)
	listed := []any{}
	for _, m := range c.machines {
		if m.id < from || m.rentedAt.After(asOf) || m.status == "gone" && m.changed.Before(asOf) {
			continue
		}
		if m.id == from {
			continue
		}
		status := "starting"
		switch {
		case m.status == "failed" && time.Since(m.changed) > diesUnseen+c.listLag:
			status = "failed"
		case !m.upAt.IsZero() && m.upAt.Before(asOf):
			status = "running"
		}
		listed = append(listed, object{
			"id": m.id, "endpoint": "", "breed": m.breed.name, "grove": m.zone, "borrowed": m.borrowed, "status": status,
			"held_s": asOf.Sub(m.rentedAt).Seconds(),
		})
	}
	sort.Slice(listed, func(a, b int) bool {
		return textOf(listed[a].(object), "id") < textOf(listed[b].(object), "id")
	})
	more := len(listed) > 500
	if more {
		listed = listed[:500]
	}
	reply(w, 200, object{"trees": listed, "has_next": more})
}

// running lists the machines that are up, in the order of their names.
func (c *cloud) running() []*machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	var up []*machine
	for _, m := range c.machines {
		if m.status == "running" {
			up = append(up, m)
		}
	}
	return up
}
