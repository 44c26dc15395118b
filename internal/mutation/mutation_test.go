package mutation

import (
	"bufio"
	"fmt"
	"go/ast"
	"go/build/constraint"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// mutationNames returns the names of the mutations, taken from the names of the *_on.go files,
// and checks that each file of the package belongs to a pair.
func mutationNames(t *testing.T) (names []string) {
	t.Helper()
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		name, on := strings.CutSuffix(file, "_on.go")
		if on {
			names = append(names, name)
			continue
		}
		name, off := strings.CutSuffix(file, "_off.go")
		switch {
		case off && !slices.Contains(files, name+"_on.go"):
			t.Errorf("%s has no matching %s_on.go", file, name)
		case !off && file != "doc.go" && !strings.HasSuffix(file, "_test.go"):
			t.Errorf("%s: want a name that ends in _on.go or _off.go", file)
		}
	}
	return names
}

// mutationFile is the content of one file of a pair.
type mutationFile struct {
	buildTag, constant, value string
}

// parseMutationFile parses a file that must contain a build constraint and one constant.
func parseMutationFile(t *testing.T, name string) (m mutationFile) {
	t.Helper()
	f, err := os.Open(name)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	line, err := bufio.NewReader(f).ReadString('\n')
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	expr, err := constraint.Parse(strings.TrimSpace(line))
	if err != nil {
		t.Fatalf("%s: first line %q: %v", name, line, err)
	}
	m.buildTag = expr.String()
	parsed, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	if len(parsed.Decls) != 1 {
		t.Fatalf("%s: got %d declarations, want one constant", name, len(parsed.Decls))
	}
	decl, ok := parsed.Decls[0].(*ast.GenDecl)
	if !ok || decl.Tok != token.CONST || len(decl.Specs) != 1 {
		t.Fatalf("%s: got another declaration, want one constant", name)
	}
	spec := decl.Specs[0].(*ast.ValueSpec)
	value, ok := spec.Values[0].(*ast.Ident)
	if !ok || len(spec.Names) != 1 {
		t.Fatalf("%s: got another declaration, want one constant", name)
	}
	m.constant, m.value = spec.Names[0].Name, value.Name
	return m
}

var wordBoundary = regexp.MustCompile("([a-z])([A-Z])")

// snakeCase converts a Go name to snake case.
func snakeCase(name string) string {
	return strings.ToLower(wordBoundary.ReplaceAllString(name, "${1}_${2}"))
}

// Each mutation is one constant, true with its build tag and false without it. The constant, the
// tag and the files have the same name.
func TestEachPairDeclaresOneConstant(t *testing.T) {
	names := mutationNames(t)
	if len(names) < 15 {
		t.Errorf("got %d mutations, want at least 15", len(names))
	}
	for _, name := range names {
		on, off := parseMutationFile(t, name+"_on.go"), parseMutationFile(t, name+"_off.go")
		if want := (mutationFile{"mutation_" + name, on.constant, "true"}); on != want {
			t.Errorf("%s_on.go: got %+v, want %+v", name, on, want)
		}
		if want := (mutationFile{"!mutation_" + name, on.constant, "false"}); off != want {
			t.Errorf("%s_off.go: got %+v, want %+v", name, off, want)
		}
		if got := snakeCase(on.constant); got != name {
			t.Errorf("%s_on.go: got constant %s (%s), want the file's name", name, on.constant, got)
		}
	}
}

// Each constant is used in non-test code, and every constant used there is declared by a pair.
func TestEachMutationIsUsed(t *testing.T) {
	used := make(map[string]string) // by constant: a file that uses it
	for _, dir := range []string{"../../cmd", "../../internal", "../../policy"} {
		err := filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			return addUsedConstants(used, path)
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	for _, name := range mutationNames(t) {
		constant := parseMutationFile(t, name+"_off.go").constant
		if used[constant] == "" {
			t.Errorf("%s is not used in non-test code", constant)
		}
		delete(used, constant)
	}
	for constant, file := range used {
		t.Errorf("%s uses mutation.%s, which no pair declares", file, constant)
	}
}

// addUsedConstants adds the constants of this package that a file uses.
func addUsedConstants(used map[string]string, path string) error {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	if err != nil {
		return fmt.Errorf("parse %s: %w", path, err)
	}
	if !slices.ContainsFunc(file.Imports, func(s *ast.ImportSpec) bool { return s.Path.Value == `"barleywick/internal/mutation"` }) {
		return nil
	}
	ast.Inspect(file, func(n ast.Node) bool {
		if s, ok := n.(*ast.SelectorExpr); ok {
			if pkg, ok := s.X.(*ast.Ident); ok && pkg.Name == "mutation" {
				used[s.Sel.Name] = path
			}
		}
		return true
	})
	return nil
}

// The pages name only existing tags, and each tag is named on at least one page.
func TestPagesNameTheTags(t *testing.T) {
	named := make(map[string]bool)
	tag := regexp.MustCompile(`mutation_([a-z_]+)`)
	for _, page := range []string{"LEASES.md", "POLICY.md", "MEMBERSHIP.md", "TESTING.md"} {
		text, err := os.ReadFile(filepath.Join("../../docs", page))
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range tag.FindAllStringSubmatch(string(text), -1) {
			named[m[1]] = true
		}
	}
	names := mutationNames(t)
	for _, name := range names {
		if !named[name] {
			t.Errorf("mutation_%s is not named on any page", name)
		}
	}
	for name := range named {
		if !slices.Contains(names, name) {
			t.Errorf("a page names mutation_%s, which does not exist", name)
		}
	}
}
