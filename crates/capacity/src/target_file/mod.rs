//! Reads target files: their elements, the values of attributes, and the checks
//! between values.

mod checks;
mod error;
mod reader;
mod values;

pub use error::TargetError;
pub(crate) use reader::read_root;
