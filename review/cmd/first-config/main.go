// Command first-config shows that a configuration that was acknowledged while the installation
// starts is lost with the disk of one VM.
package main

import (
	"os"
	"time"

	"parsleypulley/review/kit"
)

const (
	// laterStart is how long after the first VM the others start. All start within 0.3 s of each
	// other, in any order.
	laterStart = 250 * time.Millisecond
	// downFor is how long the VM without its disk is down.
	downFor = time.Second
	// readFor is how long the operator reads the configuration back.
	readFor = 40 * time.Second
)

func main() {
	s := kit.Open(os.Args[1], 4, 0)
	first := s.VMs[0]
	s.StartVM(first, true)
	time.AfterFunc(laterStart, func() {
		for _, vm := range s.VMs[1:] {
			s.StartVM(vm, true)
		}
	})
	config := map[string]any{
		"Version":  1,
		"Routes":   []any{map[string]any{"Name": "r-1", "Host": "jepu9.example", "Prefix": "/fiti832/", "Kind": "safe", "TimeoutMs": 3000, "GoalMs": 150, "Priority": 1, "Service": "desk", "Attempts": 2, "Public": true}},
		"Services": []any{map[string]any{"Name": "desk", "HealthPath": "/health", "MaxConns": 220, "Protocol": "h1", "Tls": false}},
		"Limits":   map[string]any{"HeaderBytes": 16384, "BodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
	// The operator sends the first configuration from the start on, until it is acknowledged.
	holder := s.PutUntilAcknowledged(s.VMs, 30*time.Second, config)
	if holder == nil {
		s.Finish(2, "version 1 was not acknowledged")
	}
	s.Log("version 1 is acknowledged by %s", holder.Name)
	if s.Trouble {
		holder.Control.Kill()
		holder.Router.Kill()
		s.Log("%s loses power", holder.Name)
		s.WipeDisk(holder)
		time.Sleep(downFor)
		s.StartVM(holder, false)
	}
	back := time.Now()
	for time.Since(back) < readFor {
		for _, vm := range s.VMs {
			status, version := s.Get(vm)
			s.Log("the operator reads the configuration from %s: %d, version %v", vm.Name, status, version)
			if status == 200 && version >= 1 && time.Since(back) > kit.Contact {
				s.Finish(0, "version %v is read back %.1f s after all were back", version, time.Since(back).Seconds())
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	// The next version shows whether the installation works at all.
	config["Version"] = 2
	acknowledged := s.PutUntilAcknowledged(s.VMs, 10*time.Second, config) != nil
	s.Finish(1, "version 1 was acknowledged, and isn't read back %.0f s after all VMs were back; version 2 is acknowledged: %v", readFor.Seconds(), acknowledged)
}
