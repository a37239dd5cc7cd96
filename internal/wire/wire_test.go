package wire

import (
	"encoding/json"
	"strings"
	"testing"

	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
)

const validSubmission = `{"name_id":"wk-000412","jobline":"train","crew":"vision","shape":"sweep","urgency":"urgent","cues":16,
 "cores":8.0,"cards":1.0,"memory_gb":64.0,"reel":"img-07","image_gb":6.2,"rigs":["g8"],"hall":null,
 "same_place":true,"apart":false,"standby":true,"runtime_s":240.0,"bookmark_s":30.0,"stow_s":4.0,"curtain_s":900.0}`

// editSubmission returns validSubmission with one field set to a value, or removed if the value is "DROP".
func editSubmission(t *testing.T, name string, value any) []byte {
	t.Helper()
	var m map[string]any
	if err := json.Unmarshal([]byte(validSubmission), &m); err != nil {
		t.Fatal(err)
	}
	if value == "DROP" {
		delete(m, name)
	} else {
		m[name] = value
	}
	b, err := json.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// TestDecodeSubmission checks the decoded fields, that optional fields may be null or missing, that duplicate
// dependencies are removed, and that unknown fields are ignored.
func TestDecodeSubmission(t *testing.T) {
	id, s, err := DecodeSubmission([]byte(validSubmission))
	if err != nil || id != "wk-000412" || s.Tasks != 16 || s.Demand[0] != 8000 || s.Priority != jobs.High || !s.OneZone || s.Deadline.Seconds() != 900 {
		t.Fatalf("%q %+v %v", id, s, err)
	}
	for _, name := range []string{"rigs", "hall", "curtain_s"} {
		for _, v := range []any{nil, "DROP"} {
			if _, _, err := DecodeSubmission(editSubmission(t, name, v)); err != nil {
				t.Errorf("%s may be null or absent: %v", name, err)
			}
		}
	}
	for _, v := range []any{nil, []string{}, "DROP"} {
		if _, s, err := DecodeSubmission(editSubmission(t, "awaits", v)); err != nil || s.Awaits != nil {
			t.Errorf("awaits %v: %+v %v", v, s, err)
		}
	}
	if _, s, err := DecodeSubmission(editSubmission(t, "awaits", []string{"wk-000398", "wk-000405", "wk-000398"})); err != nil || len(s.Awaits) != 2 || s.Awaits[1] != "wk-000405" {
		t.Errorf("%+v %v", s, err)
	}
	if _, _, err := DecodeSubmission(editSubmission(t, "news", 1)); err != nil {
		t.Errorf("unknown field: %v", err)
	}
}

// TestDecodeSubmissionRejectsInvalid checks that missing fields, wrong types, values out of range and bodies that
// are not a JSON object are rejected.
func TestDecodeSubmissionRejectsInvalid(t *testing.T) {
	for _, name := range []string{"name_id", "jobline", "crew", "shape", "urgency", "cues", "cores", "cards", "memory_gb", "reel",
		"image_gb", "same_place", "apart", "standby", "runtime_s", "bookmark_s", "stow_s"} {
		for _, v := range []any{"DROP", nil, []int{1}, map[string]int{}} {
			if _, _, err := DecodeSubmission(editSubmission(t, name, v)); err == nil {
				t.Errorf("%s = %v was accepted", name, v)
			}
		}
	}
	for name, vs := range map[string][]any{
		"name_id": {"wk-1", "x", 7}, "shape": {"ensemble", ""}, "urgency": {"soon"}, "cues": {0, -1, 100001, 1.5, "2"},
		"cores": {-1, 1e300, "8"}, "memory_gb": {-0.5}, "runtime_s": {-1}, "curtain_s": {-1, "x"}, "rigs": {"g8", []int{1}, []string{""}},
		"hall": {1, ""}, "same_place": {1, "true"},
		"awaits": {"wk-000398", 7, true, map[string]int{}, []any{nil}, []int{1}, []string{""}, []string{"wk-1"}, []any{[]string{"wk-000398"}}},
	} {
		for _, v := range vs {
			if _, _, err := DecodeSubmission(editSubmission(t, name, v)); err == nil {
				t.Errorf("%s = %v was accepted", name, v)
			}
		}
	}
	for _, body := range []string{"", "null", "[]", "7", "{", validSubmission + "x", strings.Replace(validSubmission, "8.0", "NaN", 1), strings.Replace(validSubmission, "8.0", "1e999", 1)} {
		if _, _, err := DecodeSubmission([]byte(body)); err == nil {
			t.Errorf("%.20q was accepted", body)
		}
	}
}

const validHeartbeat = `{"stagehand":"n-000231","address":"10.1.0.232:9000","rig":"g8","hall":"a","standby":true,
 "shift":1,"tally":88,"baton":41,"warning_s":2.5,
 "cues":[{"cue":"wk-000412/3","take":2,"status":"running"},{"cue":"wk-000398/0","take":1,"status":"ended","cause":"done"}]}`

// TestDecodeHeartbeat checks the decoded fields, and that a heartbeat with any invalid field is rejected.
func TestDecodeHeartbeat(t *testing.T) {
	r, err := DecodeHeartbeat([]byte(validHeartbeat))
	if err != nil {
		t.Fatal(err)
	}
	if r.Machine != "n-000231" || r.FencingToken != 41 || r.ReclaimIn.Seconds() != 2.5 || len(r.Tasks) != 2 ||
		r.Tasks[0].State != fleet.Running || r.Tasks[1].Cause != fleet.Completed {
		t.Fatalf("%+v", r)
	}
	for _, old := range []string{`"n-000231"`, `"rig":"g8"`, `"shift":1`, `"tally":88`, `"baton":41`, `"standby":true`,
		`"running"`, `"take":2`, `"wk-000412/3"`} {
		for _, v := range []string{`null`, `-1`, `{}`, `"x y"`} {
			bad := strings.Replace(validHeartbeat, old, v, 1)
			if i := strings.Index(old, ":"); i > 0 {
				bad = strings.Replace(validHeartbeat, old, old[:i+1]+v, 1)
			}
			if _, err := DecodeHeartbeat([]byte(bad)); err == nil && (v != `"x y"` || old != `"rig":"g8"`) {
				t.Errorf("accepted with %s replaced by %s", old, v)
			}
		}
	}
}

// FuzzDecodeSubmission checks that a submission is rejected or valid, and that the job record of an accepted
// submission can be decoded again.
func FuzzDecodeSubmission(f *testing.F) {
	f.Add([]byte(validSubmission))
	f.Add([]byte(`{"name_id":"wk-000412","cues":1e99}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		id, s, err := DecodeSubmission(b)
		if err != nil {
			return
		}
		if !jobs.ValidID(id) || s.Tasks < 1 || s.Demand[0] < 0 || s.Estimate < 0 {
			t.Fatalf("%q %+v", id, s)
		}
		rec, err := json.Marshal(jobs.Record{Status: jobs.Pending, Tasks: s.Tasks, Spec: s})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := jobs.DecodeRecord(rec); err != nil {
			t.Fatalf("accepted, but its record cannot be read: %v", err)
		}
	})
}

// FuzzDecodeHeartbeat checks that arbitrary bytes are rejected or yield a heartbeat with valid fields.
func FuzzDecodeHeartbeat(f *testing.F) {
	f.Add([]byte(validHeartbeat))
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := DecodeHeartbeat(b)
		if err == nil && (r.Machine == "" || r.Type == "" || r.Zone == "" || r.ReclaimIn < 0) {
			t.Fatalf("%+v", r)
		}
	})
}
