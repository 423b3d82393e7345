package h2

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"golang.org/x/net/http2/hpack"
)

// Field is one header field. Its name is in lower case.
type Field = hpack.HeaderField

// Value returns the value of the first field with that name, or "" if there is none.
func Value(fields []Field, name string) string {
	for _, f := range fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// Count returns the number of fields with that name.
func Count(fields []Field, name string) (n int) {
	for _, f := range fields {
		if f.Name == name {
			n++
		}
	}
	return n
}

// fieldSize returns the size in bytes that a field counts toward SETTINGS_MAX_HEADER_LIST_SIZE (RFC 9113 section 6.5.2).
func fieldSize(f Field) int { return len(f.Name) + len(f.Value) + 32 }

// validateFields checks a header or trailer section against RFC 9113 sections 8.2 and 8.3. It returns the value of
// content-length, or -1 if there is none. request tells whether the section belongs to a request, and trailers whether it
// is a trailer section.
func validateFields(fields []Field, request, trailers bool) (length int64, err error) {
	length = -1
	pseudo := map[string]string{}
	regular := false
	for _, f := range fields {
		if strings.HasPrefix(f.Name, ":") {
			if regular || trailers {
				return -1, fmt.Errorf("pseudo-header %s after a regular field", f.Name)
			}
			if _, twice := pseudo[f.Name]; twice {
				return -1, fmt.Errorf("pseudo-header %s twice", f.Name)
			}
			pseudo[f.Name] = f.Value
			if !isKnownPseudo(f.Name, request) {
				return -1, fmt.Errorf("pseudo-header %q not defined here", f.Name)
			}
		} else {
			regular = true
			if err := validateRegularField(f); err != nil {
				return -1, err
			}
			if f.Name == "content-length" && !trailers {
				n, err := strconv.ParseUint(f.Value, 10, 62)
				if err != nil || length >= 0 && length != int64(n) {
					return -1, fmt.Errorf("content-length %q", f.Value)
				}
				length = int64(n)
			}
		}
		if !isValidValue(f.Value) {
			return -1, fmt.Errorf("field %s: forbidden byte in its value", f.Name)
		}
	}
	if trailers {
		return length, nil
	}
	return length, validatePseudoFields(pseudo, request)
}

// isKnownPseudo reports whether a pseudo-header is defined for requests or for responses.
func isKnownPseudo(name string, request bool) bool {
	if request {
		return name == ":method" || name == ":scheme" || name == ":path" || name == ":authority"
	}
	return name == ":status"
}

// validatePseudoFields checks that the pseudo-headers are complete and have valid values.
func validatePseudoFields(pseudo map[string]string, request bool) error {
	if !request {
		if s := pseudo[":status"]; len(s) != 3 || s[0] < '1' || s[0] > '5' || s[1] < '0' || s[1] > '9' || s[2] < '0' || s[2] > '9' {
			return fmt.Errorf(":status %q", s)
		}
		return nil
	}
	if pseudo[":method"] == "CONNECT" { // RFC 9113 section 8.5
		if pseudo[":scheme"] != "" || pseudo[":path"] != "" {
			return errors.New("CONNECT with :scheme or :path")
		}
		return nil
	}
	if pseudo[":method"] == "" || pseudo[":scheme"] == "" || pseudo[":path"] == "" {
		return errors.New("request without :method, :scheme or :path")
	}
	if p := pseudo[":path"]; p[0] != '/' && p != "*" {
		return fmt.Errorf(":path %q", p)
	}
	return nil
}

// validateRegularField checks the name of a field that is not a pseudo-header, and rejects connection-specific fields.
func validateRegularField(f Field) error {
	if f.Name == "" {
		return errors.New("field without a name")
	}
	for i := 0; i < len(f.Name); i++ {
		if c := f.Name[i]; c <= ' ' || c >= 0x7f || c == ':' || c >= 'A' && c <= 'Z' {
			return fmt.Errorf("forbidden byte in field name %q", f.Name)
		}
	}
	switch f.Name {
	case "connection", "proxy-connection", "keep-alive", "transfer-encoding", "upgrade":
		return fmt.Errorf("field %s is of the connection (RFC 9113 section 8.2.2)", f.Name)
	case "te":
		if f.Value != "trailers" {
			return fmt.Errorf("te: %q", f.Value)
		}
	}
	return nil
}

// isValidValue reports whether a field value has no surrounding whitespace and no forbidden byte (RFC 9113 section 8.2.1).
func isValidValue(v string) bool {
	if v == "" {
		return true
	}
	if a, b := v[0], v[len(v)-1]; a == ' ' || a == '\t' || b == ' ' || b == '\t' {
		return false
	}
	return !strings.ContainsAny(v, "\x00\r\n")
}
