//! JSON values, and an incremental parser of them.
//!
//! The parser limits the length and the depth of values. Numbers keep their text, so that each use can parse them as
//! the type that it needs.
mod parser;

use std::fmt::Write;

pub use parser::JsonParser;

/// A JSON value. A number is kept as text, to be parsed as the type that is needed.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    /// `null`.
    Null,
    /// `true` or `false`.
    Bool(bool),
    /// A number, in its original text.
    Number(String),
    /// A string.
    String(String),
    /// An array.
    Array(Vec<Json>),
    /// An object, with its fields in their original order.
    Object(Vec<(String, Json)>),
}

impl Json {
    /// The value of the first field with this name, if this is an object.
    pub fn get(&self, name: &str) -> Option<&Json> {
        let Json::Object(fields) = self else {
            return None;
        };
        let field = fields.iter().find(|(field, _)| field == name);
        field.map(|(_, value)| value)
    }

    /// The text, if this is a string.
    pub fn as_str(&self) -> Option<&str> {
        match self {
            Json::String(text) => Some(text),
            _ => None,
        }
    }

    /// The items, if this is an array.
    pub fn as_array(&self) -> Option<&[Json]> {
        match self {
            Json::Array(items) => Some(items),
            _ => None,
        }
    }

    /// The value, if this is a finite number.
    pub fn as_f64(&self) -> Option<f64> {
        let Json::Number(text) = self else {
            return None;
        };
        text.parse().ok().filter(|number: &f64| number.is_finite())
    }

    /// The value, if this is a non-negative integer in any notation, such as `5.0`.
    pub fn as_u64(&self) -> Option<u64> {
        let Json::Number(text) = self else {
            return None;
        };
        if let Ok(number) = text.parse() {
            return Some(number);
        }
        let is_whole = |number: &f64| number.fract() == 0.0 && (0.0..=9e15).contains(number);
        self.as_f64().filter(is_whole).map(|number| number as u64)
    }

    /// Calls `put` with the path and text of each plain value, in the form of the flat start settings: objects in an
    /// array are numbered and their count is added, and the plain values of an array are joined by commas.
    pub fn flatten(&self, path: &str, put: &mut dyn FnMut(String, String)) {
        match self {
            Json::Object(fields) => {
                for (name, value) in fields {
                    value.flatten(&child_path(path, name), put);
                }
            }
            Json::Array(items) if items.iter().any(|item| matches!(item, Json::Object(_))) => {
                put(child_path(path, "count"), items.len().to_string());
                for (index, item) in items.iter().enumerate() {
                    item.flatten(&child_path(path, &index.to_string()), put);
                }
            }
            Json::Array(items) => {
                let plain: Vec<String> = items.iter().map(Json::plain).collect();
                put(path.to_owned(), plain.join(","));
            }
            plain => put(path.to_owned(), plain.plain()),
        }
    }

    /// A plain value in the form of the flat start settings.
    fn plain(&self) -> String {
        match self {
            Json::Bool(value) => value.to_string(),
            // An integer may be written with a fraction, such as `5.0`.
            Json::Number(text) => text.strip_suffix(".0").unwrap_or(text).to_owned(),
            Json::String(text) => settings_name(text),
            _ => String::new(),
        }
    }
}

/// The path of the field `name` of the value at `path`.
pub(crate) fn child_path(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_owned()
    } else {
        format!("{path}.{name}")
    }
}

/// A name in the form of the flat start settings, in which names contain no spaces or commas.
pub fn settings_name(text: &str) -> String {
    text.replace([' ', ','], "_")
}

/// Encodes a text as a JSON string, with quotes.
pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for character in text.chars() {
        match character {
            '"' | '\\' => quoted.extend(['\\', character]),
            control if control < ' ' => drop(write!(quoted, "\\u{:04x}", u32::from(control))),
            other => quoted.push(other),
        }
    }
    quoted + "\""
}
