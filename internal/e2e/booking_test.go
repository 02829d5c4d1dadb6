package e2e

import (
	"io"
	"net/http"
	"testing"
	"time"

	"parsleypulley/internal/standin"
)

// TestResendAfterRouterCrash kills the router that forwards a booking while it runs,
// and sends the booking again through the other router: it must not run twice, and
// both answers must be the same.
func TestResendAfterRouterCrash(t *testing.T) {
	in := newInstallation(t, layout{})
	l := &load{in: in}
	const slow = 50 // makes a booking take a second
	for _, backend := range []string{"farmdesk-0", "farmdesk-1"} {
		in.inject(backend, standin.Fault{Kind: standin.FaultSlow, Factor: slow})
	}
	const key, body = "booking-in-flight", `{"sample":"in flight"}`
	go func() {
		if resp, err := l.post("router-0", "/services/farmdesk/bookings", key, body); err == nil {
			resp.Body.Close()
		}
	}()
	runs := func() int { return in.counts("farmdesk-", services).Keys[key] }
	in.waitFor("the booking runs", func() bool { return runs() == 1 })
	in.processes["router-0"].kill()
	var answers []string
	for len(answers) < 2 {
		status, text := l.resend(t, "router-1", key, body)
		if status == http.StatusConflict {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		if status != http.StatusOK {
			t.Fatalf("the resend is answered with status %d: %s", status, text)
		}
		answers = append(answers, text)
	}
	if answers[0] != answers[1] {
		t.Errorf("two answers to one booking: %s and %s", answers[0], answers[1])
	}
	if n := runs(); n != 1 {
		t.Errorf("the booking ran %d times", n)
	}
}

// resend sends a booking through a router and returns the status and the body of the
// answer.
func (l *load) resend(t *testing.T, router, key, body string) (int, string) {
	t.Helper()
	resp, err := l.post(router, "/services/farmdesk/bookings", key, body)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(text)
}
