use std::fmt::Write as _;
use std::io;
use std::io::Write as _;

use comfreymill_types::error;
use serde_json::Value;

use super::OutputFormat;

const INDENT: usize = 2;
const COLUMN_GAP: usize = 2;
const NONE: &str = "-";
const NO_ITEMS: &str = "none";

/// Renders a JSON value as human-readable text: one field per line, lists of objects as a table.
pub fn render_text(value: &Value) -> String {
    let mut text = String::new();
    push_value(&mut text, value, 0);
    text
}

/// Renders the JSON body of a node's answer in the given format.
pub(super) fn answer(body: &[u8], format: OutputFormat) -> super::Output {
    let value: Value = serde_json::from_slice(body).map_err(|error| {
        let message = format!("the node's answer is not JSON: {error}");
        error::Error::new(error::ErrorKind::Internal, message)
    })?;
    match format {
        OutputFormat::Text => Ok(render_text(&value)),
        OutputFormat::Json => json(&value),
    }
}

/// Serializes a value as JSON text that ends in a line break.
pub(super) fn json<T>(value: &T) -> super::Output
where
    T: serde::Serialize,
{
    let text = serde_json::to_string_pretty(value).map_err(|error| {
        error::Error::new(error::ErrorKind::Internal, format!("cannot write JSON: {error}"))
    })?;
    Ok(text + "\n")
}

/// Prints text to stdout; errors are ignored, since the reader may have closed the pipe.
pub(super) fn print(text: &str) {
    let _ = io::stdout().write_all(text.as_bytes());
}

fn push_value(text: &mut String, value: &Value, depth: usize) {
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                push_field(text, name, field, depth);
            }
        }
        Value::Array(items) if is_table(items) => push_table(text, items, depth),
        Value::Array(items) if items.is_empty() => push_line(text, depth, NO_ITEMS),
        Value::Array(items) => {
            for item in items {
                push_line(text, depth, &inline(item));
            }
        }
        single => push_line(text, depth, &inline(single)),
    }
}

fn push_field(text: &mut String, name: &str, field: &Value, depth: usize) {
    let is_nested = match field {
        Value::Object(fields) => !fields.is_empty(),
        Value::Array(items) => is_table(items),
        _ => false,
    };
    if is_nested {
        push_line(text, depth, &format!("{name}:"));
        push_value(text, field, depth + 1);
    } else {
        push_line(text, depth, &format!("{name}: {}", inline(field)));
    }
}

fn is_table(items: &[Value]) -> bool {
    !items.is_empty() && items.iter().all(Value::is_object)
}

fn push_table(text: &mut String, items: &[Value], depth: usize) {
    let columns = list_columns(items);
    let mut rows = vec![columns.clone()];
    for item in items {
        let cell = |name: &String| inline(item.get(name).unwrap_or(&Value::Null));
        rows.push(columns.iter().map(cell).collect());
    }
    let width = |column: usize| rows.iter().map(|row| row[column].chars().count()).max();
    let widths: Vec<usize> = (0..columns.len()).map(|column| width(column).unwrap_or(0)).collect();
    for row in &rows {
        let cells = row.iter().zip(&widths);
        let line: String =
            cells.map(|(cell, width)| format!("{cell:<width$}{:COLUMN_GAP$}", "")).collect();
        push_line(text, depth, &line);
    }
}

fn list_columns(items: &[Value]) -> Vec<String> {
    let mut columns: Vec<String> = Vec::new();
    for name in items.iter().filter_map(Value::as_object).flat_map(|fields| fields.keys()) {
        if !columns.contains(name) {
            columns.push(name.clone());
        }
    }
    columns
}

fn inline(value: &Value) -> String {
    match value {
        Value::Null => NONE.to_owned(),
        Value::String(text) => text.clone(),
        Value::Array(items) if items.is_empty() => NONE.to_owned(),
        Value::Array(items) => items.iter().map(inline).collect::<Vec<_>>().join(", "),
        Value::Object(fields) if fields.is_empty() => NONE.to_owned(),
        Value::Object(fields) => {
            let parts = fields.iter().map(|(name, field)| format!("{name}={}", inline(field)));
            parts.collect::<Vec<_>>().join(" ")
        }
        single => single.to_string(),
    }
}

fn push_line(text: &mut String, depth: usize, line: &str) {
    // Writing to a string cannot fail.
    let _ = writeln!(text, "{:width$}{}", "", line.trim_end(), width = depth * INDENT);
}
