//! Parses settings files and locates errors in them.

use std::fmt;
use std::sync::Arc;

use jsonc_parser::ast;
use jsonc_parser::common::Ranged as _;
use jsonc_parser::errors::ParseError;
use miette::{Diagnostic, LabeledSpan, NamedSource, SourceCode, SourceSpan};

use crate::config::{Finding, Problem};

/// A file in JSON with comments.
#[derive(Clone, Debug)]
pub struct Source {
    name: String,
    text: Arc<str>,
}

/// An error in a settings file.
#[derive(Debug, thiserror::Error)]
pub enum SourceError {
    /// The text is not JSON with comments.
    #[error("{}", .0.kind())]
    Syntax(ParseError),
    /// A key is unknown or missing, or a value has the wrong format.
    #[error("{0}")]
    Schema(serde_json::Error),
    /// The values contradict each other or violate a rule of the fleet.
    #[error("{0}")]
    Rule(Problem),
}

impl SourceError {
    /// How an operator can fix it.
    pub fn hint(&self) -> &'static str {
        match self {
            Self::Syntax(_) => "correct the JSON syntax here",
            Self::Schema(e) if is_unknown_key(e) => "correct the name of the key, or remove it",
            Self::Schema(e) if e.to_string().starts_with("missing field") => "add the missing key",
            Self::Schema(_) => "write the value in the expected format",
            Self::Rule(problem) => problem.hint(),
        }
    }
}

fn is_unknown_key(e: &serde_json::Error) -> bool {
    e.to_string().starts_with("unknown field")
}

/// An error with its location; `miette` prints the file, line, column and hint.
#[derive(Debug)]
pub struct LocatedError {
    /// The error.
    pub error: SourceError,
    /// Line, counted from 1.
    pub line: usize,
    /// Column, counted from 1.
    pub column: usize,
    source: NamedSource<Arc<str>>,
    span: SourceSpan,
}

impl fmt::Display for LocatedError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.error)
    }
}

impl std::error::Error for LocatedError {}

impl Diagnostic for LocatedError {
    fn help<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        Some(Box::new(self.error.hint()))
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        let label = LabeledSpan::new_with_span(Some("here".into()), self.span);
        Some(Box::new(std::iter::once(label)))
    }

    fn source_code(&self) -> Option<&dyn SourceCode> {
        Some(&self.source)
    }
}

impl Source {
    /// Creates a source from the text of a file; `name` is shown in messages.
    pub fn new(name: impl Into<String>, text: impl Into<Arc<str>>) -> Self {
        Self {
            name: name.into(),
            text: text.into(),
        }
    }

    /// Text of the file.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Parses the text into a typed document.
    pub fn parse<T: serde::de::DeserializeOwned>(&self) -> Result<T, Box<LocatedError>> {
        let options = jsonc_parser::ParseOptions::default();
        let value: serde_json::Value = jsonc_parser::parse_to_serde_value(&self.text, &options)
            .map_err(|e| self.located((e.range().start, e.range().end), SourceError::Syntax(e)))?;
        serde_path_to_error::deserialize(value).map_err(|e| {
            let path: Vec<_> = e.path().iter().filter_map(segment).collect();
            let cause = e.into_inner();
            let key_only = is_unknown_key(&cause);
            let span = self.find(&path, key_only);
            Box::new(self.located(span, SourceError::Schema(cause)))
        })
    }

    /// Locates a finding in the text.
    pub fn locate(&self, finding: Finding) -> LocatedError {
        let span = self.find(&finding.path, false);
        self.located(span, SourceError::Rule(finding.problem))
    }

    /// Adds the location of a byte range to an error.
    fn located(&self, (start, end): (usize, usize), error: SourceError) -> LocatedError {
        let before = &self.text[..start.min(self.text.len())];
        let line_start = before.rfind('\n').map_or(0, |i| i + 1);
        LocatedError {
            error,
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
            source: NamedSource::new(&self.name, self.text.clone()),
            span: SourceSpan::from((start, end.saturating_sub(start))),
        }
    }

    /// Byte range of the value at `path`, or of the nearest enclosing value that exists.
    ///
    /// An object or list may span many lines, so the range covers only its key, or its first
    /// character if it has no key.
    fn find(&self, path: &[String], key_only: bool) -> (usize, usize) {
        let options = jsonc_parser::ParseOptions::default();
        let parsed = jsonc_parser::parse_to_ast(&self.text, &Default::default(), &options);
        let root = parsed.ok().and_then(|p| p.value);
        let Some(mut value) = root.as_ref() else {
            return (0, 0);
        };
        let mut span = (value.start(), value.start() + 1);
        for part in path {
            let Some((key, next)) = child(value, part) else {
                break;
            };
            value = next;
            let container = matches!(value, ast::Value::Object(_) | ast::Value::Array(_));
            span = match key {
                Some(key) if container || key_only => key,
                _ if container => (value.start(), value.start() + 1),
                _ => (value.start(), value.end()),
            };
        }
        span
    }
}

/// A child value, with the byte range of its key if it has one.
type Child<'a, 'b> = (Option<(usize, usize)>, &'b ast::Value<'a>);

fn child<'a, 'b>(value: &'b ast::Value<'a>, part: &str) -> Option<Child<'a, 'b>> {
    match value {
        ast::Value::Object(object) => {
            let property = object.get(part)?;
            let key = (property.name.start(), property.name.end());
            Some((Some(key), &property.value))
        }
        ast::Value::Array(list) => {
            let index: usize = part.parse().ok()?;
            Some((None, list.elements.get(index)?))
        }
        _ => None,
    }
}

fn segment(segment: &serde_path_to_error::Segment) -> Option<String> {
    match segment {
        serde_path_to_error::Segment::Seq { index } => Some(index.to_string()),
        serde_path_to_error::Segment::Map { key } => Some(key.clone()),
        serde_path_to_error::Segment::Enum { variant } => Some(variant.clone()),
        serde_path_to_error::Segment::Unknown => None,
    }
}
