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

// Problem is one fault of a document.
type Problem struct {
	// Path is the JSON pointer of the field.
	Path string `json:"path"`
	// Line counts from 1; 0 where the field is not in the document.
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

// DecodeStrict decodes JSON with comments into out. Unknown fields and wrong
// types are an *InvalidError that names path and line.
func DecodeStrict(text []byte, out any) error {
	return decode(text, out, json.RejectUnknownMembers(true))
}

// Decode is DecodeStrict that passes over unknown fields.
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

// lineAtOffset returns the line of the first character after offset that is not
// white space.
func lineAtOffset(text []byte, offset int64) int {
	at := min(int(offset), len(text))
	for at < len(text) && strings.IndexByte(" \t\r\n,:{", text[at]) >= 0 {
		at++
	}
	return 1 + bytes.Count(text[:at], []byte("\n"))
}

// lineOfPath returns the line of the field at path, or 0.
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

// Parse decodes one document, base or overlay, without looking at others.
func Parse(text []byte) (Document, error) {
	var doc Document
	err := DecodeStrict(text, &doc)
	return doc, err
}

// Merge lays the overlay over the base. Either may be empty.
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

// Difference returns the merge patch that turns one document into another.
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

func standardize(text []byte) ([]byte, error) {
	if len(bytes.TrimSpace(text)) == 0 {
		return []byte("{}"), nil
	}
	plain, err := hujson.Standardize(bytes.Clone(text))
	return plain, trace.Wrap(err)
}
