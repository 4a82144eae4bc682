//! JSON values as this agent uses them, and the reading of them as their bytes arrive.
//!
//! It knows no message. The parser bounds the length and the depth of what it reads; numbers keep their own text.
mod parser;

use std::fmt::Write;

pub use parser::JsonParser;

/// A JSON value. A number keeps its own text, to be read as what it is needed for.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    /// `null`.
    Null,
    /// `true` or `false`.
    Bool(bool),
    /// A number, as it was written.
    Number(String),
    /// A string.
    String(String),
    /// An array.
    Array(Vec<Json>),
    /// An object, its fields in their order.
    Object(Vec<(String, Json)>),
}

impl Json {
    /// The first field of an object that has this name.
    pub fn get(&self, name: &str) -> Option<&Json> {
        let Json::Object(fields) = self else {
            return None;
        };
        let field = fields.iter().find(|(field, _)| field == name);
        field.map(|(_, value)| value)
    }

    /// The text of a string.
    pub fn as_str(&self) -> Option<&str> {
        match self {
            Json::String(text) => Some(text),
            _ => None,
        }
    }

    /// The items of an array.
    pub fn as_array(&self) -> Option<&[Json]> {
        match self {
            Json::Array(items) => Some(items),
            _ => None,
        }
    }

    /// A finite number.
    pub fn as_f64(&self) -> Option<f64> {
        let Json::Number(text) = self else {
            return None;
        };
        text.parse().ok().filter(|number: &f64| number.is_finite())
    }

    /// A whole number that is not negative, however it is written.
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

    /// Passes the value on as the flat start settings have it, as path and value: objects in arrays by number, with
    /// their count, arrays of plain values joined by commas.
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

    /// A plain value as the flat start settings have it.
    fn plain(&self) -> String {
        match self {
            Json::Bool(value) => value.to_string(),
            // A whole number may have been written with a fraction.
            Json::Number(text) => text.strip_suffix(".0").unwrap_or(text).to_owned(),
            Json::String(text) => settings_name(text),
            _ => String::new(),
        }
    }
}

/// The path of a field of the value at `path`.
pub(crate) fn child_path(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_owned()
    } else {
        format!("{path}.{name}")
    }
}

/// A name as the flat start settings have it.
pub fn settings_name(text: &str) -> String {
    text.replace([' ', ','], "_")
}

/// A text as a JSON string, quotes included.
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
