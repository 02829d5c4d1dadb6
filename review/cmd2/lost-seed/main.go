// Command lost-seed shows whether a new installation starts if one front machine without a disk does not
// come up.
package main

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"parsleypulley/review/kit2"
)

const (
	host, key = "desk.example", "key-of-tenant-one"
	// waiting is how long the operator sends the first configuration.
	waiting = 40 * time.Second
	// ackMs is the time within which a configuration has to be acknowledged.
	ackMs = 4000
	// lost is the machine that does not come up: the first one without a disk.
	lost = 4
)

func main() {
	// As at clamp-check: four machines with a disk and four without serve control. The settings name
	// two of the latter and one of the former.
	kit2.Main(kit2.Options{Disks: 4, Diskless: 4, Memory: 120, Seeds: []int{lost, lost + 1, 0}}, play)
}

func play(f *kit2.Fleet) (int, error) {
	if os.Getenv("TROUBLE") != "0" {
		for _, role := range []string{"control", "router"} {
			if err := f.Process(role, lost).Process.Kill(); err != nil {
				return 0, err
			}
		}
		f.Record.Add("platform: front-%d, which has no disk, is lost and does not come back", lost+1)
	}
	r, err := f.StartRunner("i-one", "farmdesk", f.Net+"101:8080", "zone-a", 10*time.Millisecond, nil)
	if err != nil {
		return 0, err
	}
	r.Beat(0)
	defer r.Crash()
	config := kit2.Config(7, []kit2.Route{kit2.PlainRoute("bookings", host, "/book/", "unsafe", "farmdesk", 1000, 1)},
		[]kit2.Service{kit2.PlainService("farmdesk")}, []kit2.Tenant{{"Name": "one", "ApiKeys": []string{key}, "Priority": 1, "Isolated": false}})
	began, acknowledged, sent := time.Now(), time.Duration(0), 0
	for machine := 0; acknowledged == 0 && time.Since(began) < waiting; machine = (machine + 1) % 8 {
		if machine == lost {
			continue
		}
		sent++
		status := f.Call(http.MethodPut, machine, "/parsleypulley/config", config)
		f.Record.Add("operator: the first configuration is answered %d by front-%d", status, machine+1)
		if status == http.StatusOK {
			acknowledged = time.Since(began)
		}
		time.Sleep(300 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	served, requests := 0, 0
	for machine := range f.Machines {
		if machine == lost {
			continue
		}
		c := kit2.NewClient(f.Front(machine), host, key)
		for n := range 5 {
			requests++
			a := c.Do(http.MethodPost, "/book/x", fmt.Sprintf("%d-%d", machine, n), time.Second, []byte("a booking"))
			f.Record.Add("client: a request to front-%d is answered %d by %q", machine+1, a.Status, a.Stamp)
			if a.Status == http.StatusOK {
				served++
			}
		}
	}
	verdict := fmt.Sprintf("the first configuration was sent %d times in %v, acknowledged after %v (0: never); %d of %d requests were served", sent, time.Since(began).Round(time.Second), acknowledged.Round(time.Millisecond), served, requests)
	f.Record.Add("%s", verdict)
	fmt.Println(verdict)
	if acknowledged == 0 || acknowledged > ackMs*time.Millisecond || served == 0 {
		return 1, nil
	}
	return 0, nil
}
