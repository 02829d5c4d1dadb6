//go:build faults

package e2e

import (
	"context"

	"parsleypulley/internal/fault"
	"parsleypulley/internal/link"
	"parsleypulley/internal/wire"
)

// fetchView requests the complete view of the process at address over a new link.
func fetchView(ctx context.Context, address string) (*wire.ViewUpdate, error) {
	pool := link.NewPool(nil)
	defer pool.Close()
	resp, err := pool.Call(ctx, address, &wire.Request{Body: &wire.Request_FetchView{FetchView: &wire.FetchView{}}})
	if err != nil {
		return nil, err
	}
	update := resp.GetViewUpdate()
	if update == nil {
		return nil, fault.New(fault.Internal, fault.Unknown, "%s answered without an update", address)
	}
	return update, nil
}
