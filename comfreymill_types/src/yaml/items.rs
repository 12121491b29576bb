use std::slice;

use serde::de;

use super::Node;
use super::deserializer::NodeDeserializer;
use super::read_error::ReadError;

/// Iterates over the items of a list, skipping those that already have a problem.
pub(super) struct Items<'a, 'b> {
    pub(super) parent: &'b NodeDeserializer<'a>,
    pub(super) nodes: slice::Iter<'a, Node>,
    pub(super) next: usize,
}

impl<'de> de::SeqAccess<'de> for Items<'_, '_> {
    type Error = ReadError;

    fn next_element_seed<S>(&mut self, seed: S) -> Result<Option<S::Value>, ReadError>
    where
        S: de::DeserializeSeed<'de>,
    {
        let mut node = self.nodes.next();
        let mut path = format!("{}[{}]", self.parent.path, self.next);
        while node.is_some() && self.parent.report.is_skipped(&path) {
            node = self.nodes.next();
            self.next += 1;
            path = format!("{}[{}]", self.parent.path, self.next);
        }
        let Some(node) = node else { return Ok(None) };
        self.next += 1;
        let location = node.get_location();
        let found = seed.deserialize(self.parent.child(node, path.clone()));
        // All problems of this item are reported, so the next pass skips to the items after it.
        if let Err(ReadError::Reported) = found {
            self.parent.report.skip(&path);
        }
        found.map(Some).map_err(|error| error.at(location, &path))
    }
}
