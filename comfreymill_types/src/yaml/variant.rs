use serde::de;
use serde::de::IntoDeserializer as _;

use super::Entry;
use super::deserializer::NodeDeserializer;
use super::read_error::ReadError;
use super::report;

/// Enum variant with a value, written as a mapping with a single key.
pub(super) struct Variant<'a, 'b> {
    pub(super) parent: &'b NodeDeserializer<'a>,
    pub(super) entry: &'a Entry,
}

impl<'a, 'de> de::EnumAccess<'de> for Variant<'a, '_> {
    type Error = ReadError;
    type Variant = NodeDeserializer<'a>;

    fn variant_seed<S>(self, seed: S) -> Result<(S::Value, NodeDeserializer<'a>), ReadError>
    where
        S: de::DeserializeSeed<'de>,
    {
        let path = report::join_path(&self.parent.path, &self.entry.key);
        let location = (self.entry.line, self.entry.column);
        let name: Result<S::Value, ReadError> =
            seed.deserialize(self.entry.key.as_str().into_deserializer());
        let name = name.map_err(|error| error.at(location, &path))?;
        Ok((name, self.parent.child(&self.entry.node, path)))
    }
}

impl<'de> de::VariantAccess<'de> for NodeDeserializer<'_> {
    type Error = ReadError;

    fn unit_variant(self) -> Result<(), ReadError> {
        self.type_error("allowed: this variant takes no value")
    }

    fn newtype_variant_seed<S>(self, seed: S) -> Result<S::Value, ReadError>
    where
        S: de::DeserializeSeed<'de>,
    {
        seed.deserialize(self)
    }

    fn tuple_variant<V>(self, _len: usize, visitor: V) -> Result<V::Value, ReadError>
    where
        V: de::Visitor<'de>,
    {
        de::Deserializer::deserialize_seq(self, visitor)
    }

    fn struct_variant<V>(
        self,
        fields: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, ReadError>
    where
        V: de::Visitor<'de>,
    {
        de::Deserializer::deserialize_struct(self, "", fields, visitor)
    }
}
