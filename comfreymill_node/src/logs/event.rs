use std::fmt;

use serde::ser::SerializeMap as _;

use crate::clock;

/// Log record that serializes as one JSON object: time, level, target, message and key-values.
pub(super) struct Event<'r>(pub(super) &'r log::Record<'r>);

impl serde::Serialize for Event<'_> {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        let record = self.0;
        let mut map = serializer.serialize_map(None)?;
        let unix_ms = u64::try_from(clock::since_1970().as_millis()).unwrap_or(u64::MAX);
        map.serialize_entry("unix_ms", &unix_ms)?;
        map.serialize_entry("level", record.level().as_str())?;
        map.serialize_entry("part", record.target())?;
        map.serialize_entry("event", &Text(record.args()))?;
        let mut fields = Fields { map, error: None };
        // A failed visit has its error in `fields.error`; the source itself does not fail.
        let _ = record.key_values().visit(&mut fields);
        match fields.error {
            Some(error) => Err(error),
            None => fields.map.end(),
        }
    }
}

/// Serializes format arguments without an intermediate string.
struct Text<'t>(&'t fmt::Arguments<'t>);

impl serde::Serialize for Text<'_> {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        serializer.collect_str(self.0)
    }
}

struct Fields<M>
where
    M: serde::ser::SerializeMap,
{
    map: M,
    error: Option<M::Error>,
}

impl<'kvs, M> log::kv::VisitSource<'kvs> for Fields<M>
where
    M: serde::ser::SerializeMap,
{
    fn visit_pair(
        &mut self,
        key: log::kv::Key<'kvs>,
        value: log::kv::Value<'kvs>,
    ) -> Result<(), log::kv::Error> {
        let key = key.as_str();
        let written = if let Some(number) = value.to_u64() {
            self.map.serialize_entry(key, &number)
        } else if let Some(flag) = value.to_bool() {
            self.map.serialize_entry(key, &flag)
        } else {
            self.map.serialize_entry(key, &value.to_string())
        };
        if let Err(error) = written {
            self.error = Some(error);
            return Err(log::kv::Error::msg("cannot write the event"));
        }
        Ok(())
    }
}
