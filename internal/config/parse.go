package config

import (
	"bytes"
	stdjson "encoding/json"
	"errors"
	"fmt"
	"strings"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/gravitational/trace"
	"github.com/tailscale/hujson"
)

// Problem is one error in a document.
type Problem struct {
	// Path is the JSON pointer to the field.
	Path string `json:"path"`
	// Line is the line number from 1; 0 if the field is not in the document.
	Line    int    `json:"line"`
	Message string `json:"message"`
}

// String formats the problem for people.
func (p Problem) String() string {
	path := p.Path
	if path == "" {
		path = "/"
	}
	if p.Line == 0 {
		return fmt.Sprintf("%s: %s", path, p.Message)
	}
	return fmt.Sprintf("line %d: %s: %s", p.Line, path, p.Message)
}

// InvalidError lists the problems of a document.
type InvalidError struct{ Problems []Problem }

// Error implements error.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// DecodeStrict decodes JSON with comments and trailing commas into out. For syntax
// errors, unknown fields and wrong types it returns an *InvalidError, with path and
// line where they are known.
func DecodeStrict(text []byte, out any) error {
	return decode(text, out, json.RejectUnknownMembers(true))
}

// Decode is like DecodeStrict, but ignores unknown fields.
func Decode(text []byte, out any) error { return decode(text, out) }

func decode(text []byte, out any, options ...json.Options) error {
	plain, err := hujson.Standardize(bytes.Clone(text))
	if err != nil {
		return &InvalidError{Problems: []Problem{{Message: err.Error()}}}
	}
	err = json.Unmarshal(plain, out, options...)
	if err == nil {
		return nil
	}
	return &InvalidError{Problems: []Problem{decodeProblem(text, err)}}
}

// decodeProblem converts an error of the JSON decoder to a Problem.
func decodeProblem(text []byte, err error) Problem {
	var semantic *json.SemanticError
	if errors.As(err, &semantic) {
		p := Problem{Path: string(semantic.JSONPointer), Line: lineAtOffset(text, semantic.ByteOffset)}
		switch {
		case errors.Is(err, json.ErrUnknownName):
			p.Message = "unknown field"
		case semantic.GoType != nil:
			p.Message = fmt.Sprintf("wrong type: %v cannot hold %v", semantic.GoType, semantic.JSONKind)
		default:
			p.Message = err.Error()
		}
		return p
	}
	var syntactic *jsontext.SyntacticError
	if errors.As(err, &syntactic) {
		return Problem{
			Path:    string(syntactic.JSONPointer),
			Line:    lineAtOffset(text, syntactic.ByteOffset),
			Message: syntactic.Err.Error(),
		}
	}
	return Problem{Message: err.Error()}
}

// lineAtOffset returns the line of the first character at or after offset that is
// not white space or one of the separators ',', ':' and '{'. The decoder reports
// the offset before these.
func lineAtOffset(text []byte, offset int64) int {
	at := min(int(offset), len(text))
	for at < len(text) && strings.IndexByte(" \t\r\n,:{", text[at]) >= 0 {
		at++
	}
	return 1 + bytes.Count(text[:at], []byte("\n"))
}

// lineOfPath returns the line of the field at path, or of its innermost parent
// that is in the document, or 0.
func lineOfPath(text []byte, path string) int {
	root, err := hujson.Parse(text)
	if err != nil {
		return 0
	}
	root.UpdateOffsets()
	for {
		if v := root.Find(path); v != nil {
			return 1 + bytes.Count(text[:min(v.StartOffset, len(text))], []byte("\n"))
		}
		cut := strings.LastIndexByte(path, '/')
		if cut <= 0 {
			return 0
		}
		path = path[:cut]
	}
}

// Parse decodes one document, which may be a base or an overlay, as in
// DecodeStrict.
func Parse(text []byte) (Document, error) {
	var doc Document
	err := DecodeStrict(text, &doc)
	return doc, err
}

// Merge returns the base with the overlay applied to it as a JSON merge patch.
// Either may be empty.
func Merge(base, overlay []byte) (Document, error) {
	plain, err := standardize(base)
	if err != nil {
		return Document{}, err
	}
	patch, err := standardize(overlay)
	if err != nil {
		return Document{}, err
	}
	merged, err := jsonpatch.MergePatch(plain, patch)
	if err != nil {
		return Document{}, trace.Wrap(err)
	}
	var doc Document
	err = stdjson.Unmarshal(merged, &doc)
	return doc, trace.Wrap(err)
}

// Difference returns the JSON merge patch that converts one document to another.
func Difference(from, to []byte) (string, error) {
	a, err := standardize(from)
	if err != nil {
		return "", err
	}
	b, err := standardize(to)
	if err != nil {
		return "", err
	}
	patch, err := jsonpatch.CreateMergePatch(a, b)
	return string(patch), trace.Wrap(err)
}

// standardize removes comments and trailing commas. An empty text becomes "{}".
func standardize(text []byte) ([]byte, error) {
	if len(bytes.TrimSpace(text)) == 0 {
		return []byte("{}"), nil
	}
	plain, err := hujson.Standardize(bytes.Clone(text))
	return plain, trace.Wrap(err)
}
