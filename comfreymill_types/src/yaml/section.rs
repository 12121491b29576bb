use std::cell::RefCell;
use std::fmt;
use std::str;

use super::{Entry, Node, Value};
use crate::document;

/// Mapping whose known keys are read one by one; problems are added to a shared list.
#[derive(Debug)]
pub struct Section<'a> {
    path: String,
    location: (u64, u64),
    entries: &'a [Entry],
    known: RefCell<Vec<&'static str>>,
    problems: &'a RefCell<Vec<document::Problem>>,
}

impl<'a> Section<'a> {
    /// Creates a section from a node.
    ///
    /// A node that is neither a mapping nor null is reported and read as empty.
    pub fn new<P>(path: P, node: &'a Node, problems: &'a RefCell<Vec<document::Problem>>) -> Self
    where
        P: Into<String>,
    {
        let path = path.into();
        let location = node.get_location();
        let entries = match &node.value {
            Value::Mapping(entries) => entries.as_slice(),
            Value::Null => &[],
            Value::Scalar(_) | Value::Sequence(_) => {
                let message = "is not a mapping: write keys with values".to_owned();
                let field = path.clone();
                problems.borrow_mut().push(document::Problem {
                    location: Some(location),
                    field,
                    message,
                });
                &[]
            }
        };
        Self { path, location, entries, known: RefCell::default(), problems }
    }

    /// Parses the value of a required key, and reports it if it is missing or malformed.
    pub fn required<T>(&self, key: &'static str) -> Option<T>
    where
        T: str::FromStr,
        T::Err: fmt::Display,
    {
        match self.take(key) {
            Some(node) => self.parse(key, node),
            None => {
                self.report(self.location, key, "is missing");
                None
            }
        }
    }

    /// Parses the value of an optional key, and reports it if it is malformed.
    pub fn optional<T>(&self, key: &'static str) -> Option<T>
    where
        T: str::FromStr,
        T::Err: fmt::Display,
    {
        self.take(key).and_then(|node| self.parse(key, node))
    }

    /// Returns the mapping at an optional key.
    pub fn section(&self, key: &'static str) -> Option<Self> {
        let node = self.take(key)?;
        Some(Section::new(self.path_of(key), node, self.problems))
    }

    /// Returns the mapping at a required key; a missing key is reported and read as empty.
    pub fn required_section(&self, key: &'static str) -> Self {
        self.section(key).unwrap_or_else(|| {
            self.report(self.location, key, "is missing");
            let path = self.path_of(key);
            let known = RefCell::default();
            Section { path, location: self.location, entries: &[], known, problems: self.problems }
        })
    }

    /// Returns the list of mappings at a required key.
    pub fn sections(&self, key: &'static str) -> Vec<Self> {
        let items = self.items(key);
        let numbered = items.iter().enumerate();
        numbered
            .map(|(i, node)| {
                Section::new(self.path_of(&format!("{key}[{i}]")), node, self.problems)
            })
            .collect()
    }

    /// Parses the mapping from names to lists of values at a required key.
    pub fn lists<K, V>(&self, key: &'static str) -> Vec<(K, Vec<V>)>
    where
        K: str::FromStr,
        K::Err: fmt::Display,
        V: str::FromStr,
        V::Err: fmt::Display,
    {
        let Some(node) = self.take(key) else {
            self.report(self.location, key, "is missing");
            return Vec::new();
        };
        let Value::Mapping(entries) = &node.value else {
            self.report(
                node.get_location(),
                key,
                "is not a mapping: write keys with lists as values",
            );
            return Vec::new();
        };
        let mut lists = Vec::new();
        for entry in entries {
            let path = format!("{key}.{}", entry.key);
            let name = match entry.key.parse() {
                Ok(name) => Some(name),
                Err(error) => {
                    self.report((entry.line, entry.column), &path, &format!("{error}"));
                    None
                }
            };
            let values = self.parse_list(&path, &entry.node);
            lists.extend(name.map(|name| (name, values)));
        }
        lists
    }

    /// Returns the line and column of the key's value, or of the section if the key is absent.
    pub fn location_of(&self, key: &str) -> (u64, u64) {
        let entry = self.entries.iter().find(|entry| entry.key == key);
        entry.map_or(self.location, |entry| entry.node.get_location())
    }

    /// Reports a problem with the key's value.
    pub fn problem<M>(&self, key: &str, message: M)
    where
        M: AsRef<str>,
    {
        self.report(self.location_of(key), key, message.as_ref());
    }

    /// Reports every key that no earlier call read.
    pub fn finish(&self) {
        let known = self.known.borrow();
        for entry in self.entries {
            if !known.contains(&entry.key.as_str()) {
                let message = format!("is not known here: write one of {}", known.join(", "));
                self.report((entry.line, entry.column), &entry.key, &message);
            }
        }
    }

    fn take(&self, key: &'static str) -> Option<&'a Node> {
        self.known.borrow_mut().push(key);
        let entry = self.entries.iter().find(|entry| entry.key == key)?;
        Some(&entry.node)
    }

    fn items(&self, key: &'static str) -> &'a [Node] {
        match self.take(key).map(|node| (node, &node.value)) {
            Some((_, Value::Sequence(nodes))) => nodes,
            Some((node, _)) => {
                self.report(node.get_location(), key, "is not a list");
                &[]
            }
            None => {
                self.report(self.location, key, "is missing");
                &[]
            }
        }
    }

    fn parse_list<V>(&self, path: &str, node: &Node) -> Vec<V>
    where
        V: str::FromStr,
        V::Err: fmt::Display,
    {
        let Value::Sequence(nodes) = &node.value else {
            self.report(node.get_location(), path, "is not a list");
            return Vec::new();
        };
        let numbered = nodes.iter().enumerate();
        numbered.filter_map(|(i, node)| self.parse(&format!("{path}[{i}]"), node)).collect()
    }

    fn parse<T>(&self, path: &str, node: &Node) -> Option<T>
    where
        T: str::FromStr,
        T::Err: fmt::Display,
    {
        let Value::Scalar(text) = &node.value else {
            self.report(node.get_location(), path, "is not a single value");
            return None;
        };
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.report(node.get_location(), path, &error.to_string());
                None
            }
        }
    }

    fn path_of(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) }
    }

    fn report(&self, location: (u64, u64), key: &str, message: &str) {
        let field = self.path_of(key);
        let message = message.to_owned();
        self.problems.borrow_mut().push(document::Problem {
            location: Some(location),
            field,
            message,
        });
    }
}
