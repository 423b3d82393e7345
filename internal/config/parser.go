// Package config reads the settings: an INI file, checked key by key. What is wrong comes back as problems that name
// file, line and key.
package config

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// Problem is one thing that is wrong with a settings file.
type Problem struct {
	File string
	Line int // 0 where it is of no line
	Key  string
	Text string
}

func (p Problem) Error() string {
	at := p.File
	if p.Line > 0 {
		at = fmt.Sprintf("%s:%d", p.File, p.Line)
	}
	if p.Key != "" {
		at += ": " + p.Key
	}
	return at + ": " + p.Text
}

// Problems are all that is wrong with a file, in the order of its lines.
type Problems []Problem

func (p Problems) Error() string {
	const most = 50 // one slip in a file made by a program can make thousands
	var lines []string
	for i, o := range p {
		if i == most {
			lines = append(lines, fmt.Sprintf("%s: and %d more", o.File, len(p)-most))
			break
		}
		lines = append(lines, o.Error())
	}
	return strings.Join(lines, "\n")
}

// section is one section of the file with its values.
type section struct {
	spec    *sectionSpec
	name    string // of a named section
	line    int
	values  map[string]string
	numbers map[string]float64
	lines   map[string]int
}

// parser gathers sections and problems.
type parser struct {
	file     string
	problems Problems
	sections []*section
}

func (r *parser) addProblem(line int, key, format string, a ...any) {
	r.problems = append(r.problems, Problem{r.file, line, key, fmt.Sprintf(format, a...)})
}

// Load reads a settings file. The error is Problems where the file could be read.
func Load(file string) (*Config, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, Problems{{File: file, Text: err.Error()}}
	}
	return Parse(file, text)
}

// Parse reads settings; file is how problems name them.
func Parse(file string, text []byte) (*Config, error) {
	r := &parser{file: file}
	if len(text) > 16<<20 {
		r.addProblem(0, "", "longer than 16 MiB")
		return nil, r.problems
	}
	lines := r.indexLines(string(text))
	if len(r.problems) == 0 {
		r.parseSections(text, lines)
	}
	var c *Config
	if len(r.problems) == 0 {
		c = r.build()
	}
	if len(r.problems) > 0 {
		slices.SortStableFunc(r.problems, func(a, b Problem) int { return a.Line - b.Line })
		return nil, r.problems
	}
	return c, nil
}

// position is where a section or a key stands.
type position struct{ section, key string }

// indexLines finds the lines of sections and keys, which the INI library does not tell, and what it would merge silently:
// duplicates. Values are the library's.
func (r *parser) indexLines(text string) map[position]int {
	at := map[position]int{}
	now := ""
	for i, line := range strings.Split(text, "\n") {
		n := i + 1
		line = strings.TrimSpace(strings.TrimSuffix(line, "\r"))
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[':
			if line[len(line)-1] != ']' {
				r.addProblem(n, "", "section without its closing bracket")
				continue
			}
			now = strings.TrimSpace(line[1 : len(line)-1])
			if first := at[position{section: now}]; first > 0 {
				r.addProblem(n, "["+now+"]", "stands already in line %d", first)
				continue
			}
			at[position{section: now}] = n
		default:
			key, _, ok := strings.Cut(line, "=")
			key = strings.TrimSpace(key)
			switch {
			case !ok || key == "" || strings.ContainsAny(key, "\"`"):
				r.addProblem(n, "", "neither a section, nor key = value, nor a comment: %.60q", line)
			case now == "":
				r.addProblem(n, key, "stands before the first section")
			case at[position{now, key}] > 0:
				r.addProblem(n, key, "stands already in line %d", at[position{now, key}])
			default:
				at[position{now, key}] = n
			}
		}
	}
	return at
}

// parseSections reads all sections and checks each key by its spec.
func (r *parser) parseSections(text []byte, at map[position]int) {
	f, err := ini.LoadSources(ini.LoadOptions{IgnoreContinuation: true, IgnoreInlineComment: true, KeyValueDelimiters: "=",
		SkipUnrecognizableLines: false, PreserveSurroundedQuote: true}, text)
	if err != nil {
		r.addProblem(0, "", "%v", err)
		return
	}
	for _, s := range f.Sections() {
		if s.Name() == ini.DefaultSection && len(s.Keys()) == 0 {
			continue
		}
		line := at[position{section: s.Name()}]
		spec, name, ok := findSection(s.Name())
		if !ok {
			r.addProblem(line, "["+s.Name()+"]", "no such section")
			continue
		}
		sec := &section{spec: spec, name: name, line: line, values: map[string]string{}, numbers: map[string]float64{}, lines: map[string]int{}}
		if spec.named && !validSectionName(spec.name, name) {
			r.addProblem(line, "["+s.Name()+"]", "%q is no name for it", name)
		}
		for _, k := range s.Keys() {
			r.parseKey(sec, k.Name(), strings.TrimSpace(k.Value()), at[position{s.Name(), k.Name()}])
		}
		r.applyDefaults(sec)
		r.sections = append(r.sections, sec)
	}
}

// findSection splits "kind name" and finds its spec.
func findSection(full string) (*sectionSpec, string, bool) {
	kind, name, _ := strings.Cut(full, " ")
	for i := range schema {
		if schema[i].name == kind && schema[i].named == (name != "") {
			return &schema[i], strings.TrimSpace(name), true
		}
	}
	return nil, "", false
}

func validSectionName(kind, name string) bool {
	if kind == "push" {
		return len(name) > 1 && name[0] == '/' && len(name) < 256 && !strings.ContainsAny(name, " ?#%\"\\") && !strings.Contains(name, "..") &&
			(!strings.Contains(name, "*") || strings.HasSuffix(name, "/*") && strings.Count(name, "*") == 1)
	}
	return namePattern.MatchString(name)
}

func (r *parser) parseKey(s *section, key, v string, line int) {
	for i := range s.spec.keys {
		k := &s.spec.keys[i]
		if k.name != key {
			continue
		}
		s.lines[key] = line
		num, err := k.parse(v)
		if err != nil {
			r.addProblem(line, key, "%v", err)
			return
		}
		s.values[key], s.numbers[key] = v, num
		return
	}
	r.addProblem(line, key, "no such key in [%s]", s.spec.name)
}

func (r *parser) applyDefaults(s *section) {
	for i := range s.spec.keys {
		k := &s.spec.keys[i]
		if s.lines[k.name] > 0 {
			continue
		}
		if k.required {
			r.addProblem(s.line, k.name, "is required in [%s %s]", s.spec.name, s.name)
			continue
		}
		if k.defaultValue != "" {
			s.values[k.name] = k.defaultValue
			s.numbers[k.name], _ = k.parse(k.defaultValue)
		}
	}
}
