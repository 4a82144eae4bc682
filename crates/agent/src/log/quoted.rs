//! Values in log lines that may hold spaces.
use std::fmt::{self, Display, Write};

/// A value between double quotes. Quotes, backslashes and control characters in it are escaped, so that it stays one
/// value on one line. Allocates nothing.
#[derive(Debug)]
pub struct Quoted<T>(pub T);

impl<T: Display> Display for Quoted<T> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_char('"')?;
        write!(Escaper(&mut *formatter), "{}", self.0)?;
        formatter.write_char('"')
    }
}

/// Escapes what is written through it.
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
