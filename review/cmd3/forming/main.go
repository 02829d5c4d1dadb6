// Command forming is a case of the third review: whether a new installation acknowledges a configuration if the replica that
// began its cluster loses its disk right then.
package main

import (
	"errors"
	"time"

	"parsleypulley/review/kit3"
)

const (
	// ackTime is AckMs and contactTime ContactMs.
	ackTime     = 4 * time.Second
	contactTime = 3 * time.Second
	// recoverTime is RecoverS.
	recoverTime = 12 * time.Second
	// patience is how much longer the operator goes on.
	patience = 20 * time.Second
	// downTime is how long the machine that lost its disk is down.
	downTime = time.Second
	// formTime limits the wait for the first replica that leads.
	formTime = 10 * time.Second
)

func main() { kit3.Main(run) }

func run(record *kit3.Record, trouble bool) (broken bool, err error) {
	in, err := kit3.StartWithRelays(record)
	if err != nil {
		return false, err
	}
	defer in.Stop()
	replicas := in.VMs[:3]
	first, voters := in.FirstLeader(replicas, formTime)
	if first == nil {
		return false, errors.New("no replica leads")
	}
	record.Addf("platform: %s leads, with %d voters", first.Name, voters)
	in.Kill(first, "control")
	if trouble {
		if err := in.Wipe(first, "control"); err != nil {
			return false, err
		}
	}
	time.Sleep(downTime)
	if err := in.StartAgain(first, "control"); err != nil {
		return false, err
	}
	back := time.Now()
	err = in.PutConfig(map[string]any{
		"Routes": []any{map[string]any{"Name": "r-desk", "Host": "desk.example", "Prefix": "/desk/", "Kind": "unsafe", "TimeoutMs": 2000, "GoalMs": 150, "Priority": 2,
			"Service": "farmdesk", "Attempts": 1, "Public": false, "Sticky": false, "CanResume": false}},
		"Services": []any{map[string]any{"Name": "farmdesk", "HealthPath": "/health", "MaxConns": 220, "Protocol": "h1", "Tls": false}},
		"Limits":   kit3.Limits(),
		"Tenants":  []any{map[string]any{"Name": "sese880", "ApiKeys": []any{"ctnfzs989anu6wsjnban"}, "Priority": 1, "Isolated": false}},
	}, recoverTime+contactTime+ackTime+patience)
	took := time.Since(back).Round(time.Millisecond)
	if err == nil {
		record.Addf("check: the first configuration is acknowledged %v after it is back", took)
		return took > recoverTime+contactTime+ackTime, nil
	}
	record.Addf("check: the first configuration is not acknowledged %v after it is back: %v", took, err)
	for _, v := range replicas {
		for _, line := range in.LogsOf(v, "control", "role changed") {
			record.Addf("%s: %s", v.Name, line)
		}
	}
	return true, nil
}
