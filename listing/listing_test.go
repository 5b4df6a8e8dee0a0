// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package listing_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/health"
	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/listing"
)

func TestParse(t *testing.T) {
	list, err := listing.Parse([]byte(`{"targets":[{"id":"a","state":"live"},{"id":"b","state":"leaving"}]}`))
	require.NoError(t, err)
	require.Equal(t, []host.ListedTarget{{ID: "a", Listing: health.Live}, {ID: "b", Listing: health.Leaving}}, list)
	for _, bad := range []string{"", "{}", `{"targets":[]}`, `{"targets":[{"id":"a","state":"odd"}]}`} {
		_, err := listing.Parse([]byte(bad))
		require.Error(t, err, bad)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"targets":[{"id":"a","state":"live"}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		list, err := listing.Parse(body)
		if err == nil && len(list) == 0 {
			t.Fatal("an empty list was taken")
		}
	})
}
