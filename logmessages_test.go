package madderslip_test

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// These tests compare the messages that the module logs with the on-call page. The page must
// list each message that an engineer can find in the log, with its level and fields, and no
// message that is no longer logged.
const (
	moduleRoot = "."
	pagePath   = "docs/operators/README.md"
)

// TestEveryLogMessageIsOnThePage checks that the on-call page lists each message of level
// error, warn or info with its level and fields, and that the page lists no message of any
// level, debug included, that the code does not log.
func TestEveryLogMessageIsOnThePage(t *testing.T) {
	calls, problems := collectModule(t)
	text, err := os.ReadFile(filepath.Join(moduleRoot, pagePath))
	if err != nil {
		t.Fatal(err)
	}
	rows, badRows := parsePage(string(text))
	problems = append(append(problems, badRows...), compare(calls, rows)...)
	for _, problem := range problems {
		t.Error(problem)
	}
	if len(calls) == 0 || len(rows) == 0 {
		t.Errorf("%d log calls in the code, %d rows on the page: one of them is not read", len(calls), len(rows))
	}
}

// TestOtherPagesQuoteLoggedMessages checks that each row in the tables of messages on the
// operators' pages begins with a message that the code logs. Such rows were left unchanged
// when messages were renamed.
func TestOtherPagesQuoteLoggedMessages(t *testing.T) {
	calls, _ := collectModule(t)
	pages, err := filepath.Glob(filepath.Join(moduleRoot, "docs", "operators", "*.md"))
	if err != nil {
		t.Fatal(err)
	}
	quotes := 0
	for _, page := range append(pages, filepath.Join(moduleRoot, "docs", "OPERATIONS.md")) {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, quote := range quotedMessages(string(text)) {
			quotes++
			if !slices.ContainsFunc(calls, func(call logCall) bool { return call.message == quote.message }) {
				t.Errorf("%s:%d: nothing logs the message %q", page, quote.line, quote.message)
			}
		}
	}
	if quotes == 0 {
		t.Error("no page quotes a message: the tables are not read")
	}
}

// quotedMessages returns the first text in backquotes in each row of the tables whose first
// column is "message".
func quotedMessages(text string) (quotes []pageRow) {
	inTable := false
	for i, line := range strings.Split(text, "\n") {
		if !strings.HasPrefix(line, "|") {
			inTable = false
			continue
		}
		first := tableCells(line)[0]
		if quoted := backquoted(first); inTable && len(quoted) > 0 {
			quotes = append(quotes, pageRow{message: quoted[0], line: i + 1})
		}
		inTable = inTable || first == "message"
	}
	return quotes
}

// logCall is one call of a logging method or function.
type logCall struct {
	message, level string
	keys           []string // keys of the fields, in order; meaningless if openKeys is set
	openKeys       bool     // the call does not write out all keys as string literals, so its keys are not compared
	position       string   // position of the call, as file:line
}

// pageRow is one row of a table of messages on the page.
type pageRow struct {
	message, level string
	keys           []string // keys of the fields, in order; empty if the row names none
	line           int
}

// collectModule returns the log calls of all non-test Go files of the module, and a problem
// for each call whose message or level cannot be determined.
func collectModule(t *testing.T) (calls []logCall, problems []string) {
	t.Helper()
	err := filepath.WalkDir(moduleRoot, func(path string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && isOutsideModule(path, entry.Name()):
			return filepath.SkipDir
		case entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go"):
			return nil
		}
		source, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		name, err := filepath.Rel(moduleRoot, path)
		if err != nil {
			return err
		}
		found, bad, err := collectFile(name, string(source))
		calls, problems = append(calls, found...), append(problems, bad...)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return calls, problems
}

// isOutsideModule reports whether the go command skips a directory: hidden directories,
// testdata, vendor, and directories with a module of their own.
func isOutsideModule(path, name string) bool {
	if path == moduleRoot {
		return false
	}
	if strings.HasPrefix(name, ".") || strings.HasPrefix(name, "_") || name == "testdata" || name == "vendor" {
		return true
	}
	_, err := os.Stat(filepath.Join(path, "go.mod"))
	return err == nil
}

// collectFile returns the log calls of one file, and the problems with them.
func collectFile(name, source string) (calls []logCall, problems []string, err error) {
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, name, source, parser.SkipObjectResolution)
	if err != nil {
		return nil, nil, err
	}
	ast.Inspect(file, func(node ast.Node) bool {
		call, ok := node.(*ast.CallExpr)
		if !ok {
			return true
		}
		at := files.Position(call.Pos())
		found, problem := readCall(call)
		switch position := fmt.Sprintf("%s:%d", at.Filename, at.Line); {
		case problem != "":
			problems = append(problems, position+": "+problem)
		case found != nil:
			found.position = position
			calls = append(calls, *found)
		}
		return true
	})
	return calls, problems, nil
}

// logMethods are the names of the methods and functions that log, with their level and the
// index of the message among their arguments.
var logMethods = map[string]struct {
	level     string // level of the message; empty if the level is an argument of the call
	messageAt int
}{
	"Debug": {"debug", 0}, "DebugContext": {"debug", 1},
	"Info": {"info", 0}, "InfoContext": {"info", 1},
	"Warn": {"warn", 0}, "WarnContext": {"warn", 1},
	"Error": {"error", 0}, "ErrorContext": {"error", 1},
	"Log": {"", 2}, "LogAttrs": {"", 2},
}

// readCall returns the log call that an expression makes, nil if the expression does not log,
// or a problem if the message or level cannot be determined. Every call of one of the names
// with enough arguments counts as logging, whatever the receiver, so that no logger is
// overlooked because of the name of its variable.
func readCall(call *ast.CallExpr) (*logCall, string) {
	selector, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return nil, ""
	}
	method, logs := logMethods[selector.Sel.Name]
	if !logs || len(call.Args) <= method.messageAt || isTestingValue(selector.X) {
		return nil, ""
	}
	if method.level == "" {
		return nil, selector.Sel.Name + ": the level is an argument; use Debug, Info, Warn or Error"
	}
	message, ok := stringLiteral(call.Args[method.messageAt])
	if !ok {
		return nil, selector.Sel.Name + ": the message is no string literal, so nobody can look it up"
	}
	keys, open := fieldKeys(call.Args[method.messageAt+1:], call.Ellipsis.IsValid())
	return &logCall{message: message, level: method.level, keys: keys, openKeys: open}, ""
}

// isTestingValue reports whether an expression is the t of a test helper, whose method Error
// does not log.
func isTestingValue(receiver ast.Expr) bool {
	name, ok := receiver.(*ast.Ident)
	return ok && name.Name == "t"
}

func stringLiteral(expression ast.Expr) (string, bool) {
	literal, ok := expression.(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(literal.Value)
	return text, err == nil
}

// fieldKeys returns the keys of a list of alternating keys and values. open reports whether
// not all keys are written out as string literals.
func fieldKeys(args []ast.Expr, spread bool) (keys []string, open bool) {
	for i := 0; i < len(args); i += 2 {
		key, ok := stringLiteral(args[i])
		if !ok || spread {
			return nil, true
		}
		keys = append(keys, key)
	}
	return keys, false
}

// parsePage returns the rows of the tables whose first columns are message, level and
// fields, and a problem for each row that cannot be parsed.
func parsePage(text string) (rows []pageRow, problems []string) {
	inTable := false
	for i, line := range strings.Split(text, "\n") {
		if !strings.HasPrefix(line, "|") {
			inTable = false
			continue
		}
		cells := tableCells(line)
		if slices.Equal(cells[:min(3, len(cells))], []string{"message", "level", "fields"}) {
			inTable = true
			continue
		}
		if !inTable || strings.HasPrefix(line, "| ---") {
			continue
		}
		row, ok := parseRow(cells)
		row.line = i + 1
		if !ok {
			problems = append(problems, fmt.Sprintf("%s:%d: a row begins with the message in backquotes, its level and its fields: %s", pagePath, row.line, line))
			continue
		}
		rows = append(rows, row)
	}
	return rows, problems
}

func tableCells(line string) []string {
	cells := strings.Split(strings.Trim(line, "|"), "|")
	for i := range cells {
		cells[i] = strings.TrimSpace(cells[i])
	}
	return cells
}

func parseRow(cells []string) (row pageRow, ok bool) {
	if len(cells) < 3 {
		return pageRow{}, false
	}
	quoted := backquoted(cells[0])
	if len(quoted) != 1 || cells[0] != "`"+quoted[0]+"`" {
		return pageRow{}, false
	}
	row = pageRow{message: quoted[0], level: cells[1], keys: backquoted(cells[2])}
	return row, slices.Contains([]string{"error", "warn", "info", "debug"}, row.level)
}

// backquoted returns the texts in backquotes.
func backquoted(text string) (out []string) {
	for i, part := range strings.Split(text, "`") {
		if i%2 == 1 {
			out = append(out, part)
		}
	}
	return out
}

// compare returns a problem for each difference between the log calls and the rows of the
// page.
func compare(calls []logCall, rows []pageRow) (problems []string) {
	byMessage := make(map[string]pageRow)
	for _, row := range rows {
		if first, twice := byMessage[row.message]; twice {
			problems = append(problems, fmt.Sprintf("%s:%d: message %q stands in line %d too", pagePath, row.line, row.message, first.line))
		}
		byMessage[row.message] = row
	}
	logged := make(map[string]bool)
	for _, call := range calls {
		logged[call.message] = true
		if row, listed := byMessage[call.message]; listed {
			problems = append(problems, compareRow(call, row)...)
		} else if call.level != "debug" {
			problems = append(problems, fmt.Sprintf("log message %q (%s, %s) is not in %s", call.message, call.level, call.position, pagePath))
		}
	}
	for _, row := range rows {
		if !logged[row.message] {
			problems = append(problems, fmt.Sprintf("%s:%d: nothing logs the message %q", pagePath, row.line, row.message))
		}
	}
	return problems
}

// compareRow returns a problem for each difference between a call and the row of its message.
func compareRow(call logCall, row pageRow) (problems []string) {
	if call.level != row.level {
		problems = append(problems, fmt.Sprintf("%s:%d: message %q has level %s on the page, %s in %s", pagePath, row.line, row.message, row.level, call.level, call.position))
	}
	if !call.openKeys && !slices.Equal(call.keys, row.keys) {
		problems = append(problems, fmt.Sprintf("%s:%d: message %q has fields %q on the page, %q in %s", pagePath, row.line, row.message, row.keys, call.keys, call.position))
	}
	return problems
}

const pageHead = "| message | level | fields | what it means |\n| --- | --- | --- | --- |\n"

// compare must report each kind of difference between the logged messages and the page, and
// nothing else.
func TestLogMessageDifferencesShow(t *testing.T) {
	calls := []logCall{{message: "shard lost", level: "info", keys: []string{"shard"}, position: "shards.go:37"}, {message: "watch failed", level: "debug", position: "watch.go:35"}}
	for name, c := range map[string]struct {
		page string
		want []string // texts that the only problem contains; empty: no problem
	}{
		"the same":                {"| `shard lost` | info | `shard` | x |", nil},
		"missing":                 {"", []string{`log message "shard lost" (info, shards.go:37) is not in ` + pagePath}},
		"surplus":                 {"| `shard lost` | info | `shard` | x |\n| `leading` | info | | x |", []string{":4:", `nothing logs the message "leading"`}},
		"surplus of debug":        {"| `shard lost` | info | `shard` | x |\n| `poked` | debug | | x |", []string{`nothing logs the message "poked"`}},
		"another level":           {"| `shard lost` | warn | `shard` | x |", []string{"level warn on the page, info in shards.go:37"}},
		"another field":           {"| `shard lost` | info | `part` | x |", []string{`fields ["part"] on the page, ["shard"] in shards.go:37`}},
		"twice":                   {"| `shard lost` | info | `shard` | x |\n| `shard lost` | info | `shard` | x |", []string{":4:", "stands in line 3 too"}},
		"a row without a level":   {"| `shard lost` | info | `shard` | x |\n| `watch failed` | | | x |", []string{"a row begins with"}},
		"a row of two messages":   {"| `shard lost` | info | `shard` | x |\n| `a`, `b` | info | | x |", []string{"a row begins with"}},
		"a table of other things": {"| `shard lost` | info | `shard` | x |\n\n| page | about |\n| --- | --- |\n| `x` | y |", nil},
	} {
		t.Run(name, func(t *testing.T) {
			rows, problems := parsePage(pageHead + c.page)
			problems = append(problems, compare(calls, rows)...)
			if len(problems) > 1 || (len(problems) == 0) != (c.want == nil) {
				t.Fatalf("problems: %q", problems)
			}
			for _, part := range c.want {
				if !strings.Contains(problems[0], part) {
					t.Errorf("%q does not contain %q", problems[0], part)
				}
			}
		})
	}
}

// collectFile must recognize the calls that log, and report those whose message or level
// cannot be determined.
func TestLogMessageCallsAreFound(t *testing.T) {
	for call, want := range map[string]string{
		`c.log.Info("shard lost", "shard", name)`:             `info "shard lost" ["shard"]`,
		`slog.Warn("settings")`:                               `warn "settings" []`,
		`c.log.With("shard", name).Error("lost", "err", err)`: `error "lost" ["err"]`,
		`journal.DebugContext(ctx, "sent", "host", host)`:     `debug "sent" ["host"]`,
		"c.log.Info(`store's budget`, append(fields, 1)...)":  `info "store's budget" open`,
		`c.log.Info(message)`:                                 "f.go:2: Info: the message is no string literal",
		`c.log.Info("shard " + name)`:                         "f.go:2: Info: the message is no string literal",
		`c.log.Log(ctx, slog.LevelInfo, "shard lost")`:        "f.go:2: Log: the level is an argument",
		`err.Error()`:     "",
		`t.Error("lost")`: "",
		`math.Log(2)`:     "",
	} {
		t.Run(call, func(t *testing.T) {
			calls, problems, err := collectFile("f.go", "package p\nfunc f() { "+call+" }")
			if err != nil {
				t.Fatal(err)
			}
			if got := describe(calls, problems); !strings.HasPrefix(got, want) || (want == "") != (got == "") {
				t.Errorf("got %q, want %q", got, want)
			}
		})
	}
}

// describe formats the collected calls and problems as one line.
func describe(calls []logCall, problems []string) string {
	lines := slices.Clone(problems)
	for _, call := range calls {
		keys := fmt.Sprintf("%q", call.keys)
		if call.openKeys {
			keys = "open"
		}
		lines = append(lines, fmt.Sprintf("%s %q %s", call.level, call.message, keys))
	}
	return strings.Join(lines, "; ")
}
