//! Findings and their report.

use std::ops::Range;

use miette::{Diagnostic, LabeledSpan, NamedSource, SourceCode};

/// One mistake in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Bytes of the file at fault.
    pub span: Range<usize>,
    /// What is wrong.
    pub message: String,
}

/// All mistakes of a file, with their places.
#[derive(Debug)]
pub struct FindingReport {
    source: NamedSource<String>,
    findings: Vec<Finding>,
}

impl FindingReport {
    pub(crate) fn new(name: &str, text: &str, mut findings: Vec<Finding>) -> Self {
        findings.sort_by_key(|finding| finding.span.start);
        Self {
            source: NamedSource::new(name, text.to_owned()).with_language("json"),
            findings,
        }
    }

    /// The findings, in the order of their places.
    pub fn findings(&self) -> &[Finding] {
        &self.findings
    }

    /// Line and column of a finding, both from one.
    pub fn place(&self, finding: &Finding) -> (usize, usize) {
        let text = self.source.inner();
        let before = &text[..finding.span.start.min(text.len())];
        let line = before.matches('\n').count() + 1;
        let column = before.chars().rev().take_while(|&c| c != '\n').count() + 1;
        (line, column)
    }
}

impl std::fmt::Display for FindingReport {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let name = self.source.name();
        write!(f, "{} findings in {name}", self.findings.len())?;
        for finding in &self.findings {
            let (line, column) = self.place(finding);
            write!(f, "\n{name}:{line}:{column}: {}", finding.message)?;
        }
        Ok(())
    }
}

impl std::error::Error for FindingReport {}

impl Diagnostic for FindingReport {
    fn source_code(&self) -> Option<&dyn SourceCode> {
        Some(&self.source)
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        Some(Box::new(self.findings.iter().map(|finding| {
            LabeledSpan::new_with_span(Some(finding.message.clone()), finding.span.clone())
        })))
    }
}
