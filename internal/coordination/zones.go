package coordination

import (
	"pipitgap/internal/protocol"
)

// zoneRule keeps one_zone and apart. It knows where the job's other tasks are;
// such a job has one part at a time,
// which assigns its tasks one commit after the other.
type zoneRule struct {
	oneZone, spread bool
	most            int
	in              map[string]int
}

func newZoneRule(v *View, j *job) *zoneRule {
	s := &j.rec.Spec
	z := &zoneRule{oneZone: s.OneZone, spread: s.Spread, most: (s.Tasks + 1) / 2, in: map[string]int{}}
	if !z.oneZone && !z.spread {
		return z
	}
	for _, p := range v.shards {
		if e := p.rec.Jobs[j.id]; e != nil {
			for _, h := range e.Held {
				if m := p.rec.Machines[h.Machine]; m != nil {
					z.in[m.Zone]++
				}
			}
		}
	}
	return z
}

func (z *zoneRule) ok(zone string) bool { return z.room(zone) > 0 }

// room counts the tasks that the rule lets a zone take.
func (z *zoneRule) room(zone string) int {
	if z.oneZone && len(z.in) > 0 && z.in[zone] == 0 {
		return 0
	}
	if z.spread {
		return max(0, z.most-z.in[zone])
	}
	return protocol.MaxTasks
}

func (z *zoneRule) add(zone string, n int) {
	if n > 0 && (z.oneZone || z.spread) {
		z.in[zone] += n
	}
}
