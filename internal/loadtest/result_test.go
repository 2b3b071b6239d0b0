package loadtest

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const resultsDir = "../../docs/measurements/scale"

// TestEarlierResultsAreWrittenAlike checks that results of earlier measurements, once read,
// are written byte for byte as before: otherwise they cannot be compared with later ones.
func TestEarlierResultsAreWrittenAlike(t *testing.T) {
	files, err := filepath.Glob(filepath.Join(resultsDir, "*.json"))
	if err != nil || len(files) == 0 {
		t.Fatal(files, err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			want, result := readResult(t, file)
			var got bytes.Buffer
			if err := result.WriteJSON(&got); err != nil || got.String() != string(want) {
				t.Errorf("error %v, written again as\n%s", err, got.String())
			}
		})
	}
}

// TestCSVOfEarlierResults checks that the result of an earlier measurement is written with
// the same header and line as in the results.csv of that time.
func TestCSVOfEarlierResults(t *testing.T) {
	table, err := os.ReadFile(filepath.Join(resultsDir, "results.csv"))
	if err != nil {
		t.Fatal(err)
	}
	_, result := readResult(t, filepath.Join(resultsDir, "500.json"))
	var got bytes.Buffer
	if err := WriteCSV(&got, []*Result{result}); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(string(table), "\n")
	if want := lines[0] + "\n" + lines[1] + "\n"; got.String() != want {
		t.Errorf("wrote\n%swanted\n%s", got.String(), want)
	}
}

// readResult returns a result file's content and the result that it holds.
func readResult(t *testing.T, file string) ([]byte, *Result) {
	t.Helper()
	raw, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	var result Result
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&result); err != nil {
		t.Fatal(err)
	}
	return raw, &result
}
