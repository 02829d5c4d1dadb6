package control

import (
	"maps"
	"time"

	"parsleypulley/internal/event"
	"parsleypulley/internal/permit"
	"parsleypulley/internal/wire"
)

// addSpeeds adds to load reports the speeds of the engines that are clearly faster or slower
// than the median one of their service.
func (l *leader) addSpeeds(replies []engineReply, loads []*wire.BackendLoad) {
	services := map[string][]permit.Key{}
	keys := map[string]permit.Key{}
	for _, r := range replies {
		key := permit.KeyOf(r.backend)
		services[r.backend.GetService()] = append(services[r.backend.GetService()], key)
		keys[r.backend.GetName()] = key
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.speeds == nil {
		return
	}
	now := time.Now()
	percent := map[permit.Key]uint32{}
	for _, service := range services {
		maps.Copy(percent, l.speeds.Percent(now, service))
	}
	for _, load := range loads {
		told := percent[keys[load.GetBackend()]]
		load.Load.SpeedPercent = told
		l.logSpeed(load.GetBackend(), told)
	}
}

// logSpeed logs a speed that differs from the one logged last. l.mu must be held.
func (l *leader) logSpeed(backend string, percent uint32) {
	before, known := l.loggedSpeeds[backend]
	switch {
	case percent == 0 && known:
		delete(l.loggedSpeeds, backend)
		event.EngineSpeedChanged(backend, 100)
	case percent != 0 && percent != before:
		l.loggedSpeeds[backend] = percent
		event.EngineSpeedChanged(backend, percent)
	}
}
