package protocol

import (
	"encoding/json"
	"fmt"
	"math"
	"testing"

	"github.com/mailru/easyjson/jlexer"
	"github.com/mailru/easyjson/jwriter"
)

// listOfTwo is the form of an amount in messages and records at commit 096baff, the version
// before types and fields were renamed.
type listOfTwo [2]float64

func (l listOfTwo) resources() Resources { return Resources{CPUs: l[0], GPUs: l[1]} }

// TestResourcesAreWrittenAsLists checks that an amount is encoded byte for byte as a list of
// two numbers: alone by generated code, as a map's value by encoding/json.
func TestResourcesAreWrittenAsLists(t *testing.T) {
	numbers := []float64{0, 1, 0.1, 2.5, 1e6, 1e20, 1e21, 1e-6, 1e-7, 1.0 / 3, -4, math.Copysign(0, -1), math.MaxFloat64, math.SmallestNonzeroFloat64}
	for _, cpus := range numbers {
		for _, gpus := range numbers {
			list := listOfTwo{cpus, gpus}
			var generated, plain jwriter.Writer
			list.resources().MarshalEasyJSON(&generated)
			plain.RawByte('[')
			plain.Float64(cpus)
			plain.RawByte(',')
			plain.Float64(gpus)
			plain.RawByte(']')
			if got, want := string(generated.Buffer.BuildBytes()), string(plain.Buffer.BuildBytes()); got != want {
				t.Errorf("generated code writes %s, wanted %s", got, want)
			}
			got, err := json.Marshal(map[string]Resources{"n0": list.resources()})
			want, wantErr := json.Marshal(map[string]listOfTwo{"n0": list})
			if err != nil || wantErr != nil || string(got) != string(want) {
				t.Errorf("encoding/json writes %s (%v), wanted %s (%v)", got, err, want, wantErr)
			}
		}
	}
	if _, err := json.Marshal(Resources{CPUs: math.Inf(1)}); err == nil {
		t.Error("an infinite amount was encoded")
	}
}

// TestResourcesAreReadAsLists checks that encoding/json decodes an amount as it decodes a list
// of two numbers, and returns an error in the same cases.
func TestResourcesAreReadAsLists(t *testing.T) {
	for _, test := range []struct{ name, text string }{
		{"both parts", `[1.5,2]`}, {"spaces", ` [ 1 , 2 ] `}, {"one part", `[1]`}, {"no part", `[]`}, {"three parts", `[1,2,3]`},
		{"null", `null`}, {"null part", `[null,2]`}, {"number", `1`}, {"text", `["1",2]`}, {"object", `{"CPUs":1}`}, {"cut short", `[1,`},
	} {
		t.Run(test.name, func(t *testing.T) {
			got, want := Resources{CPUs: 7, GPUs: 8}, listOfTwo{7, 8}
			err, wantErr := json.Unmarshal([]byte(test.text), &got), json.Unmarshal([]byte(test.text), &want)
			if (err == nil) != (wantErr == nil) || (err == nil && got != want.resources()) {
				t.Errorf("read as %v (%v), wanted %v (%v)", got, err, want, wantErr)
			}
		})
	}
}

// TestGeneratedCodeReadsResources checks that generated code leaves an amount unchanged whose
// number is missing or null, ignores elements beyond the second, and returns an error for a
// value that is not a list of numbers.
func TestGeneratedCodeReadsResources(t *testing.T) {
	for _, test := range []struct {
		name, text string
		want       Resources
		refused    bool
	}{
		{name: "both parts", text: `[1.5,2]`, want: Resources{CPUs: 1.5, GPUs: 2}},
		{name: "one part", text: `[1]`, want: Resources{CPUs: 1, GPUs: 8}},
		{name: "no part", text: `[]`, want: Resources{CPUs: 7, GPUs: 8}},
		{name: "three parts", text: `[1,2,{"a":[3]}]`, want: Resources{CPUs: 1, GPUs: 2}},
		{name: "null part", text: `[null,2]`, want: Resources{CPUs: 7, GPUs: 2}},
		{name: "null", text: `null`, want: Resources{CPUs: 7, GPUs: 8}},
		{name: "number", text: `1`, refused: true},
		{name: "text", text: `["1",2]`, refused: true},
		{name: "cut short", text: `[1,`, refused: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			got, lexer := Resources{CPUs: 7, GPUs: 8}, jlexer.Lexer{Data: []byte(test.text)}
			got.UnmarshalEasyJSON(&lexer)
			if err := lexer.Error(); (err != nil) != test.refused || (!test.refused && got != test.want) {
				t.Errorf("read as %v (%v), wanted %v", got, err, test.want)
			}
		})
	}
}

// TestResourcesInText checks that an amount is formatted for logs as a list of two numbers.
func TestResourcesInText(t *testing.T) {
	if got := fmt.Sprintf("%v %+v", Resources{CPUs: 1.5, GPUs: 2}, map[string]Resources{"n0": {CPUs: 4}}); got != "[1.5 2] map[n0:[4 0]]" {
		t.Error(got)
	}
}
