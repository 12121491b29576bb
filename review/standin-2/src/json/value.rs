use std::fmt;

/// JSON value.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) enum Value {
    #[default]
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Object(Vec<(String, Value)>),
}

impl Value {
    /// Returns a field of an object; null if there is none.
    pub(crate) fn get(&self, name: &str) -> &Value {
        const NULL: &Value = &Value::Null;
        let Self::Object(fields) = self else { return NULL };
        fields.iter().find(|(field, _)| field == name).map_or(NULL, |(_, value)| value)
    }

    /// Returns the text; empty if this is none.
    pub(crate) fn text(&self) -> &str {
        if let Self::Text(text) = self { text } else { "" }
    }

    /// Returns the whole number, if this is one.
    pub(crate) fn number(&self) -> Option<u64> {
        match self {
            Self::Number(number) if *number >= 0.0 => Some(*number as u64),
            _ => None,
        }
    }
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Null => f.write_str("null"),
            Self::Bool(value) => write!(f, "{value}"),
            Self::Number(number) => write!(f, "{number}"),
            Self::Text(text) => write!(f, "{text:?}"),
            Self::List(values) => {
                f.write_str("[")?;
                for (position, value) in values.iter().enumerate() {
                    let separator = if position == 0 { "" } else { "," };
                    write!(f, "{separator}{value}")?;
                }
                f.write_str("]")
            }
            Self::Object(fields) => {
                f.write_str("{")?;
                for (position, (name, value)) in fields.iter().enumerate() {
                    let separator = if position == 0 { "" } else { "," };
                    write!(f, "{separator}{name:?}:{value}")?;
                }
                f.write_str("}")
            }
        }
    }
}

impl From<u64> for Value {
    fn from(number: u64) -> Self {
        Self::Number(number as f64)
    }
}

impl From<&str> for Value {
    fn from(text: &str) -> Self {
        Self::Text(text.to_owned())
    }
}
