//! Quoting of values in log lines that may contain spaces.
use std::fmt::{self, Display, Write};

/// Displays a value between double quotes. Quotes, backslashes and control characters are escaped, so that it remains
/// one value on one line. Does not allocate.
#[derive(Debug)]
pub struct Quoted<T>(pub T);

impl<T: Display> Display for Quoted<T> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_char('"')?;
        write!(Escaper(&mut *formatter), "{}", self.0)?;
        formatter.write_char('"')
    }
}

/// Escapes the text that is written through it.
struct Escaper<'a, 'b>(&'a mut fmt::Formatter<'b>);

impl Write for Escaper<'_, '_> {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        for character in text.chars() {
            if matches!(character, '"' | '\\') || character.is_control() {
                write!(self.0, "{}", character.escape_default())?;
            } else {
                self.0.write_char(character)?;
            }
        }
        Ok(())
    }
}
