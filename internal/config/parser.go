// Package config reads the settings of a dispatcher from an INI file and checks each key. Errors name the file, the line
// and the key.
package config

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// Problem is one error in a settings file.
type Problem struct {
	// File is the name of the settings file.
	File string
	// Line is the line number, counted from 1. It is 0 if the problem does not belong to a line.
	Line int
	// Key is the name of the key, or of the section in brackets. It is empty if the problem belongs to neither.
	Key string
	// Text describes the problem.
	Text string
}

// Error returns the problem as "file:line: key: text".
func (p Problem) Error() string {
	position := p.File
	if p.Line > 0 {
		position = fmt.Sprintf("%s:%d", p.File, p.Line)
	}
	if p.Key != "" {
		position += ": " + p.Key
	}
	return position + ": " + p.Text
}

// Problems holds all errors in a settings file, in the order of the lines.
type Problems []Problem

// Error returns the problems, one per line.
func (p Problems) Error() string {
	// A single mistake in a generated file can cause thousands of problems.
	const maxShown = 50
	var lines []string
	for i, problem := range p {
		if i == maxShown {
			lines = append(lines, fmt.Sprintf("%s: and %d more", problem.File, len(p)-maxShown))
			break
		}
		lines = append(lines, problem.Error())
	}
	return strings.Join(lines, "\n")
}

// section is a section of the file with its values.
type section struct {
	spec *sectionSpec
	// name is the second word of a named section's header.
	name string
	// line is the line of the header. It is 0 if the file does not have the section.
	line int
	// values holds the text of each key that is set or has a default.
	values map[string]string
	// numbers holds the numeric value of each key in the base unit of its kind.
	numbers map[string]float64
	// lines holds the line of each key that the file sets.
	lines map[string]int
}

// parser collects the sections and the problems of a file.
type parser struct {
	file     string
	problems Problems
	sections []*section
}

// addProblem records a problem with a formatted text.
func (p *parser) addProblem(line int, key, format string, a ...any) {
	p.problems = append(p.problems, Problem{p.file, line, key, fmt.Sprintf(format, a...)})
}

// Load reads and checks a settings file. An error is of type Problems.
func Load(file string) (*Config, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, Problems{{File: file, Text: err.Error()}}
	}
	return Parse(file, text)
}

// Parse reads and checks settings. file is the file name in problems. An error is of type Problems.
func Parse(file string, text []byte) (*Config, error) {
	p := &parser{file: file}
	if len(text) > 16<<20 {
		p.addProblem(0, "", "longer than 16 MiB")
		return nil, p.problems
	}
	lines := p.indexLines(string(text))
	if len(p.problems) == 0 {
		p.parseSections(text, lines)
	}
	var cfg *Config
	if len(p.problems) == 0 {
		cfg = p.build()
	}
	if len(p.problems) > 0 {
		slices.SortStableFunc(p.problems, func(a, b Problem) int { return a.Line - b.Line })
		return nil, p.problems
	}
	return cfg, nil
}

// position identifies a section, or a key in a section.
type position struct{ section, key string }

// indexLines returns the line number of each section and key, because the INI library does not report line numbers. It
// also reports duplicate sections and keys, which the library would merge silently. The values come from the library.
func (p *parser) indexLines(text string) map[position]int {
	lines := map[position]int{}
	section := ""
	for i, line := range strings.Split(text, "\n") {
		number := i + 1
		line = strings.TrimSpace(strings.TrimSuffix(line, "\r"))
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[':
			if line[len(line)-1] != ']' {
				p.addProblem(number, "", "section without its closing bracket")
				continue
			}
			section = strings.TrimSpace(line[1 : len(line)-1])
			if first := lines[position{section: section}]; first > 0 {
				p.addProblem(number, "["+section+"]", "stands already in line %d", first)
				continue
			}
			lines[position{section: section}] = number
		default:
			key, _, ok := strings.Cut(line, "=")
			key = strings.TrimSpace(key)
			switch {
			case !ok || key == "" || strings.ContainsAny(key, "\"`"):
				p.addProblem(number, "", "neither a section, nor key = value, nor a comment: %.60q", line)
			case section == "":
				p.addProblem(number, key, "stands before the first section")
			case lines[position{section, key}] > 0:
				p.addProblem(number, key, "stands already in line %d", lines[position{section, key}])
			default:
				lines[position{section, key}] = number
			}
		}
	}
	return lines
}

// parseSections reads all sections and checks each key against its specification.
func (p *parser) parseSections(text []byte, lines map[position]int) {
	file, err := ini.LoadSources(ini.LoadOptions{IgnoreContinuation: true, IgnoreInlineComment: true, KeyValueDelimiters: "=",
		SkipUnrecognizableLines: false, PreserveSurroundedQuote: true}, text)
	if err != nil {
		p.addProblem(0, "", "%v", err)
		return
	}
	for _, s := range file.Sections() {
		if s.Name() == ini.DefaultSection && len(s.Keys()) == 0 {
			continue
		}
		line := lines[position{section: s.Name()}]
		spec, name, ok := findSection(s.Name())
		if !ok {
			p.addProblem(line, "["+s.Name()+"]", "no such section")
			continue
		}
		parsed := &section{spec: spec, name: name, line: line, values: map[string]string{}, numbers: map[string]float64{}, lines: map[string]int{}}
		if spec.named && !validSectionName(spec.name, name) {
			p.addProblem(line, "["+s.Name()+"]", "%q is no name for it", name)
		}
		for _, k := range s.Keys() {
			p.parseKey(parsed, k.Name(), strings.TrimSpace(k.Value()), lines[position{s.Name(), k.Name()}])
		}
		p.applyDefaults(parsed)
		p.sections = append(p.sections, parsed)
	}
}

// findSection splits a section header "kind name" and returns the specification of the kind and the name.
func findSection(full string) (*sectionSpec, string, bool) {
	kind, name, _ := strings.Cut(full, " ")
	for i := range schema {
		if schema[i].name == kind && schema[i].named == (name != "") {
			return &schema[i], strings.TrimSpace(name), true
		}
	}
	return nil, "", false
}

// validSectionName reports whether a name is valid for a kind of section. The name of a push section is a path. It may end
// in "/*" and may not contain "*" elsewhere.
func validSectionName(kind, name string) bool {
	if kind == "push" {
		return len(name) > 1 && name[0] == '/' && len(name) < 256 && !strings.ContainsAny(name, " ?#%\"\\") && !strings.Contains(name, "..") &&
			(!strings.Contains(name, "*") || strings.HasSuffix(name, "/*") && strings.Count(name, "*") == 1)
	}
	return namePattern.MatchString(name)
}

// parseKey checks the value of a key and stores it.
func (p *parser) parseKey(s *section, key, value string, line int) {
	for i := range s.spec.keys {
		k := &s.spec.keys[i]
		if k.name != key {
			continue
		}
		s.lines[key] = line
		num, err := k.parse(value)
		if err != nil {
			p.addProblem(line, key, "%v", err)
			return
		}
		s.values[key], s.numbers[key] = value, num
		return
	}
	p.addProblem(line, key, "no such key in [%s]", s.spec.name)
}

// applyDefaults sets the keys that the file does not set to their defaults and reports missing required keys.
func (p *parser) applyDefaults(s *section) {
	for i := range s.spec.keys {
		k := &s.spec.keys[i]
		if s.lines[k.name] > 0 {
			continue
		}
		if k.required {
			p.addProblem(s.line, k.name, "is required in [%s %s]", s.spec.name, s.name)
			continue
		}
		if k.defaultValue != "" {
			s.values[k.name] = k.defaultValue
			s.numbers[k.name], _ = k.parse(k.defaultValue)
		}
	}
}
