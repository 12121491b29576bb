use std::fmt;

/// JSON value; numbers are kept as text.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Value {
    Null,
    Bool(bool),
    Number(String),
    Text(String),
    List(Vec<Value>),
    Object(Vec<(String, Value)>),
}

impl Value {
    /// Returns the field `name` of an object.
    pub(crate) fn get(&self, name: &str) -> Option<&Value> {
        let Self::Object(fields) = self else { return None };
        fields.iter().find(|(key, _)| key == name).map(|(_, value)| value)
    }

    /// Returns the field `name` as a whole number.
    pub(crate) fn number(&self, name: &str) -> Option<u64> {
        match self.get(name)? {
            Self::Number(text) => text.parse().ok(),
            _ => None,
        }
    }

    /// Returns the field `name` as a text.
    pub(crate) fn text(&self, name: &str) -> Option<&str> {
        match self.get(name)? {
            Self::Text(text) => Some(text),
            _ => None,
        }
    }
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Null => f.write_str("null"),
            Self::Bool(value) => write!(f, "{value}"),
            Self::Number(text) => f.write_str(text),
            Self::Text(text) => write!(f, "{text:?}"),
            Self::List(items) => {
                f.write_str("[")?;
                for (index, item) in items.iter().enumerate() {
                    write!(f, "{}{item}", if index > 0 { "," } else { "" })?;
                }
                f.write_str("]")
            }
            Self::Object(fields) => {
                f.write_str("{")?;
                for (index, (key, value)) in fields.iter().enumerate() {
                    write!(f, "{}{key:?}:{value}", if index > 0 { "," } else { "" })?;
                }
                f.write_str("}")
            }
        }
    }
}
