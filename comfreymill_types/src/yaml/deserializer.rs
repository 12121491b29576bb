use serde::de;
use serde::de::IntoDeserializer as _;

use super::fields::Fields;
use super::items::Items;
use super::read_error::ReadError;
use super::report::{self, Report};
use super::variant::Variant;
use super::{Entry, Node, Value};
use crate::document;

/// Deserializes a whole YAML text.
///
/// serde stops at the first error, so the text is deserialized repeatedly, each time skipping the
/// paths that already have a problem, until a pass finds nothing new.
///
/// # Errors
///
/// Returns every problem of the text, except that only the first missing field of a mapping is
/// reported.
pub fn from_text<T>(text: &[u8]) -> Result<T, Vec<document::Problem>>
where
    T: de::DeserializeOwned,
{
    let node = Node::parse(text).map_err(|problem| vec![problem])?;
    let report = Report::default();
    loop {
        let before = report.count_skipped();
        let reader = NodeDeserializer { node: &node, path: String::new(), report: &report };
        match T::deserialize(reader) {
            Ok(value) if report.is_empty() => return Ok(value),
            Ok(_) => {}
            Err(error) => report.add_error(error, node.get_location(), ""),
        }
        if report.count_skipped() == before {
            return Err(report.into_problems());
        }
    }
}

/// Deserializer of one node; adds problems to the report and skips paths that already have one.
pub(super) struct NodeDeserializer<'a> {
    node: &'a Node,
    pub(super) path: String,
    pub(super) report: &'a Report,
}

impl<'a> NodeDeserializer<'a> {
    /// Creates the deserializer of a child node.
    pub(super) fn child(&self, node: &'a Node, path: String) -> Self {
        Self { node, path, report: self.report }
    }

    /// Returns the error `is not {expected}` at the location of the node.
    pub(super) fn type_error<T>(&self, expected: &str) -> Result<T, ReadError> {
        let message = format!("is not {expected}");
        Err(ReadError::Message(message).at(self.node.get_location(), &self.path))
    }

    fn text(&self) -> Result<&'a str, ReadError> {
        match &self.node.value {
            Value::Scalar(text) => Ok(text),
            Value::Null | Value::Sequence(_) | Value::Mapping(_) => {
                self.type_error("a single value")
            }
        }
    }

    fn parse<T>(&self, expected: &str) -> Result<T, ReadError>
    where
        T: std::str::FromStr,
    {
        let text = self.text()?;
        text.parse().or_else(|_| self.type_error(&format!("{expected}: `{text}`")))
    }

    fn entries(&self) -> Result<&'a [Entry], ReadError> {
        match &self.node.value {
            Value::Mapping(entries) => Ok(entries),
            Value::Null | Value::Scalar(_) | Value::Sequence(_) => {
                self.type_error("a mapping: write keys with values")
            }
        }
    }
}

macro_rules! deserialize_scalars {
    ($($method:ident $visit:ident $type:ty, $expected:literal;)*) => {
        $(
            fn $method<V>(self, visitor: V) -> Result<V::Value, ReadError>
            where
                V: de::Visitor<'de>,
            {
                let value: $type = self.parse($expected)?;
                visitor.$visit(value)
            }
        )*
    };
}

impl<'de> de::Deserializer<'de> for NodeDeserializer<'_> {
    type Error = ReadError;

    deserialize_scalars! {
        deserialize_bool visit_bool bool, "true or false";
        deserialize_i8 visit_i8 i8, "a whole number from -128 to 127";
        deserialize_i16 visit_i16 i16, "a whole number from -32768 to 32767";
        deserialize_i32 visit_i32 i32, "a whole number";
        deserialize_i64 visit_i64 i64, "a whole number";
        deserialize_u8 visit_u8 u8, "a whole number from 0 to 255";
        deserialize_u16 visit_u16 u16, "a whole number from 0 to 65535";
        deserialize_u32 visit_u32 u32, "a whole number from 0 to 4294967295";
        deserialize_u64 visit_u64 u64, "a whole number from 0";
        deserialize_f32 visit_f32 f32, "a number";
        deserialize_f64 visit_f64 f64, "a number";
        deserialize_char visit_char char, "one character";
    }

    fn deserialize_any<V>(self, visitor: V) -> Result<V::Value, ReadError>
    where
        V: de::Visitor<'de>,
    {
        match &self.node.value {
            Value::Null => visitor.visit_unit(),
            Value::Scalar(text) => visitor.visit_str(text),
            Value::Sequence(_) => self.deserialize_seq(visitor),
            Value::Mapping(_) => self.deserialize_map(visitor),
        }
    }

    fn deserialize_str<V>(self, visitor: V) -> Result<V::Value, ReadError>
    where
        V: de::Visitor<'de>,
    {
        visitor.visit_str(self.text()?)
    }

    fn deserialize_string<V>(self, visitor: V) -> Result<V::Value, ReadError>
    where
        V: de::Visitor<'de>,
    {
        visitor.visit_str(self.text()?)
    }

    fn deserialize_option<V>(self, visitor: V) -> Result<V::Value, ReadError>
    where
        V: de::Visitor<'de>,
    {
        match self.node.value {
            Value::Null => visitor.visit_none(),
            _ => visitor.visit_some(self),
        }
    }

    fn deserialize_newtype_struct<V>(
        self,
        _name: &'static str,
        visitor: V,
    ) -> Result<V::Value, ReadError>
    where
        V: de::Visitor<'de>,
    {
        visitor.visit_newtype_struct(self)
    }

    fn deserialize_seq<V>(self, visitor: V) -> Result<V::Value, ReadError>
    where
        V: de::Visitor<'de>,
    {
        match &self.node.value {
            Value::Sequence(nodes) => {
                visitor.visit_seq(Items { parent: &self, nodes: nodes.iter(), next: 0 })
            }
            Value::Null | Value::Scalar(_) | Value::Mapping(_) => self.type_error("a list"),
        }
    }

    fn deserialize_map<V>(self, visitor: V) -> Result<V::Value, ReadError>
    where
        V: de::Visitor<'de>,
    {
        let entries = self.entries()?.iter();
        visitor.visit_map(Fields { parent: &self, entries, value: None })
    }

    fn deserialize_struct<V>(
        self,
        _name: &'static str,
        fields: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, ReadError>
    where
        V: de::Visitor<'de>,
    {
        for entry in self.entries()? {
            if !fields.contains(&entry.key.as_str()) {
                let message = format!("is not known here: write one of {}", fields.join(", "));
                let location = Some((entry.line, entry.column));
                let field = report::join_path(&self.path, &entry.key);
                self.report.add(document::Problem { location, field, message });
            }
        }
        let entries = self.entries()?.iter();
        let found = visitor.visit_map(Fields { parent: &self, entries, value: None });
        found.map_err(|error| self.report_missing_field(error))
    }

    fn deserialize_enum<V>(
        self,
        _name: &'static str,
        variants: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, ReadError>
    where
        V: de::Visitor<'de>,
    {
        let variants = variants.join(", ");
        match &self.node.value {
            Value::Scalar(text) => {
                let found = visitor.visit_enum(text.as_str().into_deserializer());
                found.or_else(|_: ReadError| {
                    self.type_error(&format!("one of {variants}: `{text}`"))
                })
            }
            Value::Mapping(entries) if entries.len() == 1 => {
                visitor.visit_enum(Variant { parent: &self, entry: &entries[0] })
            }
            _ => self.type_error(&format!("a mapping with one of {variants}")),
        }
    }

    serde::forward_to_deserialize_any! {
        i128 u128 bytes byte_buf unit unit_struct tuple tuple_struct identifier ignored_any
    }
}

impl NodeDeserializer<'_> {
    fn report_missing_field(&self, error: ReadError) -> ReadError {
        let ReadError::Missing(field) = error else { return error };
        if !self.report.is_skipped(&report::join_path(&self.path, field)) {
            self.report.add_error(error, self.node.get_location(), &self.path);
        }
        ReadError::Reported
    }
}
