//! JSON values, as far as the platform's messages need them.

mod parse;
mod value;

pub(crate) use parse::parse;
pub(crate) use value::Value;
