package madderslip_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// TestArchitecturePageNamesWhatExists checks that every package and every exported name that
// docs/ARCHITECTURE.md mentions exists in the sources.
func TestArchitecturePageNamesWhatExists(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("docs", "ARCHITECTURE.md"))
	if err != nil {
		t.Fatal(err)
	}
	for _, directory := range regexp.MustCompile(`\b(?:internal|cmd)/[a-z/]*[a-z]`).FindAllString(string(page), -1) {
		if info, err := os.Stat(directory); err != nil || !info.IsDir() {
			t.Errorf("there is no package %s", directory)
		}
	}
	exported := exportedNames(t)
	for _, match := range regexp.MustCompile("`([a-z]+)\\.([A-Z][A-Za-z]*)`").FindAllStringSubmatch(string(page), -1) {
		if !exported[match[1]+"."+match[2]] {
			t.Errorf("there is no %s.%s", match[1], match[2])
		}
	}
}

// TestPagesNameTestsThatExist checks that every test that a page below docs names exists in
// the sources. A page names, for example, the test that fails if a guard, which is code that
// enforces a rule, is removed; a reader has to find the test by that name.
func TestPagesNameTestsThatExist(t *testing.T) {
	tests := testNames(t)
	pages, err := filepath.Glob(filepath.Join("docs", "*", "*.md"))
	if err != nil || len(pages) == 0 {
		t.Fatal("no pages below docs", err)
	}
	for _, name := range pages {
		page, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		for _, test := range regexp.MustCompile(`\bTest[A-Z][A-Za-z0-9]+`).FindAllString(string(page), -1) {
			if !tests[test] {
				t.Errorf("%s names %s, which does not exist", name, test)
			}
		}
	}
}

// testNames returns the names that the module's test files declare at the top level, methods
// left out.
func testNames(t *testing.T) map[string]bool {
	names := make(map[string]bool)
	isTest := func(path string) bool { return strings.HasSuffix(path, "_test.go") }
	for _, file := range parseSources(t, ".", isTest) {
		for name := range topLevelNames(file) {
			names[name] = true
		}
	}
	return names
}

// exportedNames returns the names that the packages below internal declare at the top level,
// as package.Name, methods left out. Unexported names are included, which the caller never
// looks up.
func exportedNames(t *testing.T) map[string]bool {
	names := make(map[string]bool)
	isSource := func(path string) bool {
		return strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go")
	}
	for _, file := range parseSources(t, "internal", isSource) {
		for name := range topLevelNames(file) {
			names[file.Name.Name+"."+name] = true
		}
	}
	return names
}

// parseSources parses the files below root for whose path wanted reports true.
func parseSources(t *testing.T, root string, wanted func(path string) bool) []*ast.File {
	var files []*ast.File
	err := filepath.WalkDir(root, func(path string, entry os.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !wanted(path) {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		files = append(files, file)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return files
}

// topLevelNames returns the names that a file declares at the top level, methods left out.
func topLevelNames(file *ast.File) map[string]bool {
	names := make(map[string]bool)
	for _, declaration := range file.Decls {
		switch declared := declaration.(type) {
		case *ast.FuncDecl:
			if declared.Recv == nil {
				names[declared.Name.Name] = true
			}
		case *ast.GenDecl:
			for _, spec := range declared.Specs {
				switch s := spec.(type) {
				case *ast.TypeSpec:
					names[s.Name.Name] = true
				case *ast.ValueSpec:
					for _, name := range s.Names {
						names[name.Name] = true
					}
				}
			}
		}
	}
	return names
}
