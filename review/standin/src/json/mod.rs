//! JSON values, as far as the platform's messages need them.

mod parser;
mod value;

pub(crate) use parser::parse;
pub(crate) use value::Value;
