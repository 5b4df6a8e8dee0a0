// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package settings_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/settings"
)

// selected returns the names that product code selects from a value, as in s.Name.
func selected(t *testing.T, root string) map[string]bool {
	t.Helper()
	names := map[string]bool{}
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(n ast.Node) bool {
			if s, ok := n.(*ast.SelectorExpr); ok {
				names[s.Sel.Name] = true
			}
			return true
		})
		return nil
	})
	require.NoError(t, err)
	return names
}

// TestEverySettingIsRead finds settings that no code selects from their section.
func TestEverySettingIsRead(t *testing.T) {
	names := selected(t, "..")
	sections := reflect.TypeFor[settings.Settings]()
	for i := range sections.NumField() {
		section := sections.Field(i)
		if section.Type.Kind() != reflect.Struct {
			continue
		}
		for k := range section.Type.NumField() {
			key := section.Type.Field(k)
			require.True(t, names[key.Name], "[%s] %s", section.Name, key.Tag.Get("ini"))
		}
	}
}
