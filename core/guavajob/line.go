package guavajob

import (
	"bytes"
	"encoding/json"
	"net/http"
)

// InputItem is one item as stored in a chunk: the line of the input file with its number.
type InputItem struct {
	Line int `json:"line"`
	// ID is the caller's identifier.
	ID    string          `json:"id"`
	Model string          `json:"model,omitempty"`
	Body  json.RawMessage `json:"body"`
}

// Codes of bad lines.
const (
	CodeJSON     = "invalid_json_line"
	CodeID       = "missing_custom_id"
	CodeMethod   = "invalid_method"
	CodeURL      = "mismatched_url"
	CodeBody     = "invalid_body"
	CodeModel    = "model_not_found"
	CodeTooLong  = "line_too_long"
	CodeTooMany  = "too_many_lines"
	CodeNotBatch = "invalid_purpose"
)

// ParseLine checks a line of an input file. path is the path of the job. known says whether a model is declared and is
// nil for plain services, whose items need no model. A bad line is returned without an Entry.
func ParseLine(number int, line []byte, path string, known func(model string) bool) (InputItem, *InvalidLine) {
	var in struct {
		ID     string          `json:"custom_id"`
		Method string          `json:"method"`
		URL    string          `json:"url"`
		Body   json.RawMessage `json:"body"`
	}
	bad := func(code, reason string) (InputItem, *InvalidLine) {
		return InputItem{}, &InvalidLine{Line: number, ID: in.ID, Code: code, Reason: reason}
	}
	if err := json.Unmarshal(line, &in); err != nil {
		return bad(CodeJSON, "not a JSON object: "+err.Error())
	}
	body := bytes.TrimSpace(in.Body)
	switch {
	case in.ID == "":
		return bad(CodeID, "custom_id is missing")
	case in.Method != http.MethodPost:
		return bad(CodeMethod, "method must be POST")
	case in.URL != path:
		return bad(CodeURL, "url differs from the endpoint of the batch")
	case len(body) == 0 || body[0] != '{':
		return bad(CodeBody, "body must be a JSON object")
	}
	e := InputItem{Line: number, ID: in.ID, Body: body}
	if known == nil {
		return e, nil
	}
	var fields struct {
		Model string `json:"model"`
	}
	if err := json.Unmarshal(body, &fields); err != nil {
		return bad(CodeBody, "model must be a string")
	}
	if !known(fields.Model) {
		return bad(CodeModel, "model is not served")
	}
	e.Model = fields.Model
	return e, nil
}
