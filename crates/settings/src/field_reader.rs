//! Reading the fields of a JSON object while collecting findings.
//!
//! A getter that meets a mistake records it and returns a stand-in value, so
//! that reading goes on to the next field. The stand-in is never used: a reader
//! with findings yields no settings.

use std::{
    cell::RefCell,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    ops::{Range, RangeInclusive},
    time::Duration,
};

use jsonc_parser::{
    CollectOptions, ParseOptions,
    ast::{Object, Value},
    common::Ranged,
    parse_to_ast,
};

use crate::{Finding, FindingReport, PortProbe};

const STAND_IN_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// Findings of one file, collected while its parts are read.
#[derive(Debug, Default)]
pub(crate) struct FindingList {
    findings: RefCell<Vec<Finding>>,
}

impl FindingList {
    pub(crate) fn push(&self, span: Range<usize>, message: impl Into<String>) {
        self.findings.borrow_mut().push(Finding {
            span,
            message: message.into(),
        });
    }
}

/// Parse a file and read its top object; all findings are reported together.
pub(crate) fn read_file<T>(
    name: &str,
    text: &str,
    read: impl FnOnce(&FieldReader<'_>) -> T,
) -> Result<T, FindingReport> {
    let list = FindingList::default();
    let value = parse_top(text, &list);
    let settings = match &value {
        Some(Value::Object(object)) => {
            let reader = FieldReader::new(object, &list);
            let settings = read(&reader);
            reader.finish();
            Some(settings)
        }
        Some(other) => {
            list.push(span(other), "an object is expected");
            None
        }
        None => None,
    };
    let findings = list.findings.into_inner();
    match settings {
        Some(settings) if findings.is_empty() => Ok(settings),
        _ => Err(FindingReport::new(name, text, findings)),
    }
}

fn parse_top<'a>(text: &'a str, list: &FindingList) -> Option<Value<'a>> {
    let options = ParseOptions {
        allow_comments: false,
        allow_loose_object_property_names: false,
        allow_trailing_commas: false,
    };
    match parse_to_ast(text, &CollectOptions::default(), &options) {
        Ok(parsed) => {
            if parsed.value.is_none() {
                list.push(0..0, "the file is empty");
            }
            parsed.value
        }
        Err(error) => {
            let range = error.range();
            list.push(
                range.start..range.end,
                format!("not JSON: {}", error.kind()),
            );
            None
        }
    }
}

/// Fields of one object.
pub(crate) struct FieldReader<'a> {
    object: &'a Object<'a>,
    list: &'a FindingList,
    known: RefCell<Vec<&'static str>>,
}

impl<'a> FieldReader<'a> {
    fn new(object: &'a Object<'a>, list: &'a FindingList) -> Self {
        Self {
            object,
            list,
            known: RefCell::default(),
        }
    }

    /// Record every field that no getter has asked for, and every repeated one.
    pub(crate) fn finish(&self) {
        let known = self.known.borrow();
        let mut seen = Vec::new();
        for property in &self.object.properties {
            let name = property.name.as_str();
            let range = property.name.range();
            if seen.contains(&name) {
                self.list
                    .push(range.start..range.end, format!("`{name}` stands twice"));
            }
            seen.push(name);
            if !known.contains(&name) {
                let expected = known.join(", ");
                self.list.push(
                    range.start..range.end,
                    format!("unknown field `{name}`; known are {expected}"),
                );
            }
        }
    }

    /// Span of a field's value, or of the object when the field is absent.
    pub(crate) fn span_of(&self, name: &str) -> Range<usize> {
        self.object
            .get(name)
            .map_or_else(|| self.own_span(), |property| span(&property.value))
    }

    /// Record a finding at a field.
    pub(crate) fn finding(&self, name: &str, message: impl Into<String>) {
        self.list.push(self.span_of(name), message);
    }

    /// Text that must be there.
    pub(crate) fn text(&self, name: &'static str) -> String {
        let Some(value) = self.required(name) else {
            return String::new();
        };
        self.text_of(value, name)
    }

    /// Text that may be left out.
    pub(crate) fn optional_text(&self, name: &'static str) -> Option<String> {
        let value = self.optional(name)?;
        Some(self.text_of(value, name))
    }

    /// One of a few words; the first when the field is absent.
    pub(crate) fn word<T: Copy>(&self, name: &'static str, words: &[(&str, T)]) -> T {
        let fallback = words[0].1;
        let Some(value) = self.optional(name) else {
            return fallback;
        };
        let text = self.text_of(value, name);
        match words.iter().find(|(word, _)| *word == text) {
            Some((_, meaning)) => *meaning,
            None => {
                let expected: Vec<&str> = words.iter().map(|(word, _)| *word).collect();
                self.finding(
                    name,
                    format!("`{name}` must be one of {}", expected.join(", ")),
                );
                fallback
            }
        }
    }

    /// IP number and port that must be there.
    pub(crate) fn address(&self, name: &'static str) -> SocketAddr {
        let Some(value) = self.required(name) else {
            return STAND_IN_ADDRESS;
        };
        let text = self.text_of(value, name);
        text.parse().unwrap_or_else(|_| {
            self.finding(
                name,
                format!("`{name}` must be an IP number and a port, such as 10.0.0.7:8080"),
            );
            STAND_IN_ADDRESS
        })
    }

    /// Address that must be there and that the process can listen on.
    pub(crate) fn listener(&self, name: &'static str, ports: &impl PortProbe) -> SocketAddr {
        let address = self.address(name);
        if address == STAND_IN_ADDRESS {
            return address;
        }
        if let Err(error) = ports.probe(address) {
            self.finding(
                name,
                format!("cannot listen on `{name}` {address}: {error}"),
            );
        }
        address
    }

    /// A listener that may be left out.
    pub(crate) fn optional_listener(
        &self,
        name: &'static str,
        ports: &impl PortProbe,
    ) -> Option<SocketAddr> {
        self.optional(name)?;
        Some(self.listener(name, ports))
    }

    /// Whole number in a range, or `default` when the field is absent.
    pub(crate) fn number(
        &self,
        name: &'static str,
        range: RangeInclusive<u64>,
        default: u64,
    ) -> u64 {
        match self.optional(name) {
            Some(value) => self.number_of(value, name, range).unwrap_or(default),
            None => default,
        }
    }

    /// Whole number in a range that must be there.
    pub(crate) fn required_number(&self, name: &'static str, range: RangeInclusive<u64>) -> u64 {
        let start = *range.start();
        self.required(name)
            .and_then(|value| self.number_of(value, name, range))
            .unwrap_or(start)
    }

    /// Number from 0, with or without a fraction, or `default` when the field
    /// is absent.
    pub(crate) fn decimal(&self, name: &'static str, default: f64) -> f64 {
        self.optional_decimal(name).unwrap_or(default)
    }

    /// Number from 0, with or without a fraction, if the field is present.
    pub(crate) fn optional_decimal(&self, name: &'static str) -> Option<f64> {
        let value = self.optional(name)?;
        let number = match value {
            Value::NumberLit(number) => number.value.parse::<f64>().ok(),
            _ => None,
        };
        let found = number.filter(|number| number.is_finite() && *number >= 0.0);
        if found.is_none() {
            self.finding(name, format!("`{name}` must be a number, 0 or more"));
        }
        found
    }

    /// Milliseconds in a range, or `default` when the field is absent.
    pub(crate) fn millis(
        &self,
        name: &'static str,
        range: RangeInclusive<u64>,
        default: Duration,
    ) -> Duration {
        let default = u64::try_from(default.as_millis()).unwrap_or(u64::MAX);
        Duration::from_millis(self.number(name, range, default))
    }

    /// List of texts; empty when the field is absent.
    pub(crate) fn texts(&self, name: &'static str) -> Vec<String> {
        let values = self.array(name);
        values
            .iter()
            .map(|value| self.text_of(value, name))
            .collect()
    }

    /// List of objects; empty when the field is absent.
    pub(crate) fn objects<T>(
        &self,
        name: &'static str,
        mut read: impl FnMut(&FieldReader<'_>) -> T,
    ) -> Vec<T> {
        let mut items = Vec::new();
        for value in self.array(name) {
            match value {
                Value::Object(object) => {
                    let reader = FieldReader::new(object, self.list);
                    items.push(read(&reader));
                    reader.finish();
                }
                other => self
                    .list
                    .push(span(other), format!("`{name}` must hold objects")),
            }
        }
        items
    }

    fn own_span(&self) -> Range<usize> {
        let range = self.object.range();
        range.start..range.start + 1
    }

    fn optional(&self, name: &'static str) -> Option<&'a Value<'a>> {
        self.known.borrow_mut().push(name);
        self.object.get(name).map(|property| &property.value)
    }

    fn required(&self, name: &'static str) -> Option<&'a Value<'a>> {
        let value = self.optional(name);
        if value.is_none() {
            self.list
                .push(self.own_span(), format!("`{name}` is missing"));
        }
        value
    }

    fn array(&self, name: &'static str) -> &'a [Value<'a>] {
        match self.optional(name) {
            Some(Value::Array(array)) => &array.elements,
            Some(_) => {
                self.finding(name, format!("`{name}` must be a list"));
                &[]
            }
            None => &[],
        }
    }

    fn text_of(&self, value: &Value<'_>, name: &str) -> String {
        match value {
            Value::StringLit(text) if !text.value.is_empty() => text.value.to_string(),
            other => {
                self.list
                    .push(span(other), format!("`{name}` must be text, not empty"));
                String::new()
            }
        }
    }

    fn number_of(&self, value: &Value<'_>, name: &str, range: RangeInclusive<u64>) -> Option<u64> {
        let number = match value {
            Value::NumberLit(number) => number.value.parse::<u64>().ok(),
            _ => None,
        };
        let found = number.filter(|number| range.contains(number));
        if found.is_none() {
            let (start, end) = (range.start(), range.end());
            self.list.push(
                span(value),
                format!("`{name}` must be a whole number from {start} to {end}"),
            );
        }
        found
    }
}

fn span(value: &Value<'_>) -> Range<usize> {
    let range = value.range();
    range.start..range.end
}
