// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package settings

import (
	"fmt"
	"reflect"
	"strings"
)

// Table returns all keys as a Markdown table, for the operators' page.
func Table() string {
	var b strings.Builder
	b.WriteString("| section | key | default | meaning |\n|---|---|---|---|\n")
	t := reflect.TypeFor[Settings]()
	for i := range t.NumField() {
		section := t.Field(i)
		if section.Tag.Get("ini") == "-" {
			continue
		}
		for j := range section.Type.NumField() {
			key := section.Type.Field(j)
			_, _ = fmt.Fprintf(&b, "| [%s] | %s | %s | %s |\n", section.Tag.Get("ini"), key.Tag.Get("ini"),
				key.Tag.Get("default"), key.Tag.Get("doc"))
		}
	}
	return b.String()
}
