package client

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"barleywick/internal/registry"
)

// Record returns a record as of now.
func (c *Client) Record(ctx context.Context, key string) (registry.Record, error) {
	var r registry.Record
	err := c.call(ctx, http.MethodGet, "records/"+url.PathEscape(key)+"?linearizable=1", nil, &r)
	return r, err
}

// RecordKeys returns the keys of all records as of now.
func (c *Client) RecordKeys(ctx context.Context) ([]string, error) {
	var keys []string
	err := c.call(ctx, http.MethodGet, "records?linearizable=1", nil, &keys)
	return keys, err
}

// Put writes a record if it is at the version named, or whatever it is at where
// that is nil, and returns the new version.
func (c *Client) Put(ctx context.Context, key string, value []byte, ifVersion *uint64) (uint64, error) {
	return c.PutFenced(ctx, key, value, ifVersion, nil)
}

// PutFenced is Put while a token is its lease's; registry.ErrFenced says that it is not.
func (c *Client) PutFenced(ctx context.Context, key string, value []byte, ifVersion *uint64, fence *registry.Fence) (uint64, error) {
	var a registry.WriteResponse
	err := c.call(ctx, http.MethodPut, "records/"+url.PathEscape(key), registry.PutRequest{Value: value, IfVersion: ifVersion, Fence: fence}, &a)
	return a.Version, err
}

// Delete deletes a record if it is at the version named.
func (c *Client) Delete(ctx context.Context, key string, ifVersion uint64) error {
	return c.call(ctx, http.MethodDelete, "records/"+url.PathEscape(key)+"?if_version="+strconv.FormatUint(ifVersion, 10), nil, nil)
}
