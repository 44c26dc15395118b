package client

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"barleywick/internal/registry"
)

// Record returns a record. The read is linearizable.
func (c *Client) Record(ctx context.Context, key string) (registry.Record, error) {
	return request[registry.Record](ctx, c, http.MethodGet, "records/"+url.PathEscape(key)+"?linearizable=1", nil)
}

// RecordKeys returns the keys of all records. The read is linearizable.
func (c *Client) RecordKeys(ctx context.Context) ([]string, error) {
	return request[[]string](ctx, c, http.MethodGet, "records?linearizable=1", nil)
}

// Put writes a record if its version is ifVersion, or unconditionally if that is nil, and
// returns the new version.
func (c *Client) Put(ctx context.Context, key string, value []byte, ifVersion *uint64) (uint64, error) {
	return c.PutFenced(ctx, key, value, ifVersion, nil)
}

// PutFenced is Put under the condition that the fence's token is that of the lease's current
// grant. Otherwise it returns registry.ErrFenced.
func (c *Client) PutFenced(ctx context.Context, key string, value []byte, ifVersion *uint64, fence *registry.Fence) (uint64, error) {
	body := registry.PutRequest{Value: value, IfVersion: ifVersion, Fence: fence}
	w, err := request[registry.WriteResponse](ctx, c, http.MethodPut, "records/"+url.PathEscape(key), body)
	return w.Version, err
}

// Delete deletes a record if its version is ifVersion.
func (c *Client) Delete(ctx context.Context, key string, ifVersion uint64) error {
	return c.call(ctx, http.MethodDelete, "records/"+url.PathEscape(key)+"?if_version="+strconv.FormatUint(ifVersion, 10), nil, nil)
}
