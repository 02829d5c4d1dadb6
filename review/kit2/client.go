package kit2

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Answer is what a client got for a request.
type Answer struct {
	// Status is 0 if the connection ended without a whole response.
	Status int
	Stamp  string
	Body   string
	Took   time.Duration
}

// Client is a stand-in for one client. It keeps its connection.
type Client struct {
	Front, Host, Key string
	http             *http.Client
}

// NewClient returns a client that calls a front address.
func NewClient(front, host, key string) *Client {
	return &Client{Front: front, Host: host, Key: key, http: &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}}
}

// Do sends a request and returns the answer.
func (c *Client) Do(method, path, id string, deadline time.Duration, body []byte) Answer {
	began := time.Now()
	req, err := http.NewRequest(method, "http://"+c.Front+path, bytes.NewReader(body))
	if err != nil {
		return Answer{}
	}
	req.Host = c.Host
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if c.Key != "" {
		req.Header.Set("Authorization", "Bearer "+c.Key)
	}
	req.GetBody = nil // a request is sent once
	resp, err := c.http.Do(req)
	if err != nil {
		return Answer{Took: time.Since(began)}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return Answer{Took: time.Since(began)}
	}
	return Answer{Status: resp.StatusCode, Stamp: resp.Header.Get("X-Server-Stamp"), Body: string(text), Took: time.Since(began)}
}

// Route, Service and Tenant are parts of a configuration.
type (
	Route   map[string]any
	Service map[string]any
	Tenant  map[string]any
)

// Config returns a configuration.
func Config(version int, routes []Route, services []Service, tenants []Tenant) map[string]any {
	return map[string]any{"Version": version, "Routes": routes, "Services": services, "Tenants": tenants,
		"Limits": map[string]any{"HeaderBytes": 16384, "BodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}}
}

// PlainRoute returns a route to a plain service.
func PlainRoute(name, host, prefix, kind, service string, timeoutMs, attempts int) Route {
	return Route{"Name": name, "Host": host, "Prefix": prefix, "Kind": kind, "TimeoutMs": timeoutMs, "GoalMs": 150, "Priority": 2, "Service": service,
		"Attempts": attempts, "Public": false, "Sticky": false, "CanResume": false, "GapAimMs": 0}
}

// PlainService returns a plain service.
func PlainService(name string) Service {
	return Service{"Name": name, "HealthPath": "/health", "MaxConns": 220, "Protocol": "h1", "Tls": false}
}
