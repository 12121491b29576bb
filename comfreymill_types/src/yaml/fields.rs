use std::slice;

use serde::de;
use serde::de::IntoDeserializer as _;

use super::Entry;
use super::deserializer::NodeDeserializer;
use super::read_error::ReadError;
use super::report;

/// Iterates over the keys and values of a mapping, skipping those that already have a problem.
pub(super) struct Fields<'a, 'b> {
    pub(super) parent: &'b NodeDeserializer<'a>,
    pub(super) entries: slice::Iter<'a, Entry>,
    pub(super) value: Option<&'a Entry>,
}

impl<'de> de::MapAccess<'de> for Fields<'_, '_> {
    type Error = ReadError;

    fn next_key_seed<S>(&mut self, seed: S) -> Result<Option<S::Value>, ReadError>
    where
        S: de::DeserializeSeed<'de>,
    {
        let parent = self.parent;
        let is_pending = |entry: &&Entry| {
            !parent.report.is_skipped(&report::join_path(&parent.path, &entry.key))
        };
        self.value = self.entries.find(is_pending);
        match self.value {
            Some(entry) => seed.deserialize(entry.key.as_str().into_deserializer()).map(Some),
            None => Ok(None),
        }
    }

    fn next_value_seed<S>(&mut self, seed: S) -> Result<S::Value, ReadError>
    where
        S: de::DeserializeSeed<'de>,
    {
        let Some(entry) = self.value.take() else { return Err(ReadError::Reported) };
        let path = report::join_path(&self.parent.path, &entry.key);
        let found = seed.deserialize(self.parent.child(&entry.node, path.clone()));
        found.map_err(|error| error.at(entry.node.get_location(), &path))
    }
}
