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
	position := p.File
	if p.Line > 0 {
		position = fmt.Sprintf("%s:%d", p.File, p.Line)
	}
	if p.Key != "" {
		position += ": " + p.Key
	}
	return position + ": " + p.Text
}

// Problems are all that is wrong with a file, in the order of its lines.
type Problems []Problem

func (p Problems) Error() string {
	const most = 50 // one slip in a file made by a program can make thousands
	var lines []string
	for i, problem := range p {
		if i == most {
			lines = append(lines, fmt.Sprintf("%s: and %d more", problem.File, len(p)-most))
			break
		}
		lines = append(lines, problem.Error())
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

func (p *parser) addProblem(line int, key, format string, a ...any) {
	p.problems = append(p.problems, Problem{p.file, line, key, fmt.Sprintf(format, a...)})
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

// position is where a section or a key stands.
type position struct{ section, key string }

// indexLines finds the lines of sections and keys, which the INI library does not tell, and what it would merge silently:
// duplicates. Values are the library's.
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

// parseSections reads all sections and checks each key by its spec.
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
		sec := &section{spec: spec, name: name, line: line, values: map[string]string{}, numbers: map[string]float64{}, lines: map[string]int{}}
		if spec.named && !validSectionName(spec.name, name) {
			p.addProblem(line, "["+s.Name()+"]", "%q is no name for it", name)
		}
		for _, k := range s.Keys() {
			p.parseKey(sec, k.Name(), strings.TrimSpace(k.Value()), lines[position{s.Name(), k.Name()}])
		}
		p.applyDefaults(sec)
		p.sections = append(p.sections, sec)
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
