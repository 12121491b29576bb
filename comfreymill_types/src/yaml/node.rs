use std::fmt;

use serde::de;

use crate::document;

/// Value in a YAML file with its location.
#[derive(Clone, Debug)]
pub struct Node {
    /// Line of the value, from 1.
    pub line: u64,
    /// Column of the value, from 1.
    pub column: u64,
    /// Parsed value.
    pub value: Value,
}

/// Key of a mapping with its location and value.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Name of the key.
    pub key: String,
    /// Line of the key, from 1.
    pub line: u64,
    /// Column of the key, from 1.
    pub column: u64,
    /// Value of the key.
    pub node: Node,
}

/// Content of a node.
#[derive(Clone, Debug)]
pub enum Value {
    /// Null or empty value.
    Null,
    /// String, number or boolean, as text.
    Scalar(String),
    /// Items of a list.
    Sequence(Vec<Node>),
    /// Entries of a mapping, in the order of the file.
    Mapping(Vec<Entry>),
}

impl Node {
    /// Parses a file that contains a single YAML document.
    ///
    /// # Errors
    ///
    /// Returns the first problem if the text is not UTF-8 or not valid YAML.
    pub fn parse(text: &[u8]) -> Result<Self, document::Problem> {
        let text = str::from_utf8(text).map_err(|error| {
            let at = error.valid_up_to();
            document::Problem::new("", format!("the file is not UTF-8 at byte {at}"))
        })?;
        serde_saphyr::from_str(text).map_err(|error| {
            let error = error.without_snippet();
            let location = error.location().map(|location| (location.line(), location.column()));
            let message = format!("not YAML: {}", first_line(&error.to_string()));
            document::Problem { location, field: String::new(), message }
        })
    }

    /// Returns the node at a path such as `classes[2].deadline`, or its nearest existing ancestor.
    pub fn find_nearest(&self, path: &str) -> &Self {
        let mut node = self;
        for step in steps_of(path) {
            match node.get_child(step) {
                Some(child) => node = child,
                None => break,
            }
        }
        node
    }

    /// Returns the node at a path such as `classes[2].deadline`.
    pub fn get(&self, path: &str) -> Option<&Self> {
        steps_of(path).try_fold(self, Self::get_child)
    }

    /// Returns whether a node exists at the path.
    pub fn has(&self, path: &str) -> bool {
        self.get(path).is_some()
    }

    /// Returns the scalar at a path such as `log.file.path`, as text.
    pub fn get_text(&self, path: &str) -> Option<&str> {
        match &self.get(path)?.value {
            Value::Scalar(text) => Some(text),
            Value::Null | Value::Sequence(_) | Value::Mapping(_) => None,
        }
    }

    /// Returns the line and column of the value.
    pub fn get_location(&self) -> (u64, u64) {
        (self.line, self.column)
    }

    fn get_child(&self, step: &str) -> Option<&Self> {
        match &self.value {
            Value::Mapping(entries) => {
                entries.iter().find(|entry| entry.key == step).map(|entry| &entry.node)
            }
            Value::Sequence(nodes) => nodes.get(step.parse::<usize>().ok()?),
            Value::Null | Value::Scalar(_) => None,
        }
    }
}

fn steps_of(path: &str) -> impl Iterator<Item = &str> {
    let steps = path.split(['.', '[']).filter(|step| !step.is_empty());
    steps.map(|step| step.trim_end_matches(']'))
}

fn first_line(text: &str) -> &str {
    text.lines().next().unwrap_or_default()
}

impl<'de> de::Deserialize<'de> for Node {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: de::Deserializer<'de>,
    {
        let spanned: serde_saphyr::Spanned<Value> = de::Deserialize::deserialize(deserializer)?;
        let location = spanned.referenced;
        Ok(Self { line: location.line(), column: location.column(), value: spanned.value })
    }
}

impl<'de> de::Deserialize<'de> for Value {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: de::Deserializer<'de>,
    {
        deserializer.deserialize_any(ValueVisitor)
    }
}

struct ValueVisitor;

impl<'de> de::Visitor<'de> for ValueVisitor {
    type Value = Value;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a value, a list or a mapping")
    }

    fn visit_unit<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_none<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_some<D>(self, deserializer: D) -> Result<Value, D::Error>
    where
        D: de::Deserializer<'de>,
    {
        de::Deserialize::deserialize(deserializer)
    }

    fn visit_bool<E>(self, value: bool) -> Result<Value, E> {
        Ok(Value::Scalar(value.to_string()))
    }

    fn visit_i64<E>(self, value: i64) -> Result<Value, E> {
        Ok(Value::Scalar(value.to_string()))
    }

    fn visit_u64<E>(self, value: u64) -> Result<Value, E> {
        Ok(Value::Scalar(value.to_string()))
    }

    fn visit_i128<E>(self, value: i128) -> Result<Value, E> {
        Ok(Value::Scalar(value.to_string()))
    }

    fn visit_u128<E>(self, value: u128) -> Result<Value, E> {
        Ok(Value::Scalar(value.to_string()))
    }

    fn visit_f64<E>(self, value: f64) -> Result<Value, E> {
        Ok(Value::Scalar(value.to_string()))
    }

    fn visit_str<E>(self, value: &str) -> Result<Value, E> {
        Ok(Value::Scalar(value.to_owned()))
    }

    fn visit_seq<A>(self, mut seq: A) -> Result<Value, A::Error>
    where
        A: de::SeqAccess<'de>,
    {
        let mut nodes = Vec::new();
        while let Some(node) = seq.next_element()? {
            nodes.push(node);
        }
        Ok(Value::Sequence(nodes))
    }

    fn visit_map<A>(self, mut map: A) -> Result<Value, A::Error>
    where
        A: de::MapAccess<'de>,
    {
        let mut entries = Vec::new();
        while let Some((key, node)) = map.next_entry::<serde_saphyr::Spanned<String>, Node>()? {
            let (line, column) = (key.referenced.line(), key.referenced.column());
            entries.push(Entry { key: key.value, line, column, node });
        }
        Ok(Value::Mapping(entries))
    }
}
