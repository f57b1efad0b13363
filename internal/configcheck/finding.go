package configcheck

import (
	"cmp"
	"fmt"
	"slices"
)

// Severity is the severity of a finding.
type Severity string

// Severities.
const (
	// Error means that hosts refuse the configuration, or that an entry can't work as it
	// is written.
	Error Severity = "error"
	// Warning means that hosts accept the configuration, but it probably isn't meant so.
	Warning Severity = "warning"
)

// Rule names the check that led to a finding, for scripts.
type Rule string

// Rules.
const (
	RuleSyntax         Rule = "syntax"
	RuleType           Rule = "type"
	RuleRepeatedField  Rule = "repeated-field"
	RuleUnknownField   Rule = "unknown-field"
	RuleIgnored        Rule = "ignored"
	RuleVersion        Rule = "version"
	RuleMissing        Rule = "missing"
	RuleDuplicateName  Rule = "duplicate-name"
	RulePrefix         Rule = "prefix"
	RuleUnknownService Rule = "unknown-service"
	RuleNegative       Rule = "negative"
	RuleNeverMatches   Rule = "never-matches"
	RuleWeights        Rule = "weights"
	RuleNoKeys         Rule = "no-keys"
	RuleSharedKey      Rule = "shared-key"
	RuleRepeatedKey    Rule = "repeated-key"
	RuleTimeout        Rule = "timeout"
	RuleAttempts       Rule = "attempts"
	RuleQuota          Rule = "quota"
	RuleHeaderBytes    Rule = "header-bytes"
	RuleIdleTimeout    Rule = "idle-timeout"
)

// Finding is one fault of a configuration.
type Finding struct {
	Severity Severity `json:"severity"`
	Rule     Rule     `json:"rule"`
	Line     int      `json:"line"`
	Column   int      `json:"column"`
	Message  string   `json:"message"`
}

// NewFinding returns a finding at a position.
func NewFinding(severity Severity, rule Rule, at Position, format string, args ...any) Finding {
	return Finding{Severity: severity, Rule: rule, Line: at.Line, Column: at.Column, Message: fmt.Sprintf(format, args...)}
}

// Sort sorts findings by position.
func Sort(findings []Finding) {
	slices.SortStableFunc(findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
}

// Count returns the number of findings of a severity.
func Count(findings []Finding, severity Severity) int {
	n := 0
	for _, f := range findings {
		if f.Severity == severity {
			n++
		}
	}
	return n
}
