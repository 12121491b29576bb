//! Checks the addresses, folders, keys and tokens that settings refer to on this machine.

use std::fs;
use std::io;
use std::net;
use std::os::unix::fs::PermissionsExt as _;
use std::path;

use comfreymill_types::document;
use comfreymill_types::yaml;

use crate::peer;

const MODE_GROUP_AND_OTHERS: u32 = 0o077;
const LISTENERS: &str = "listeners";
const KEY_FILE: &str = "key_file";
const TOKENS: &str = "tokens";
const DATA_FOLDER: &str = "data_folder";
const LOG_FILE: &str = "log.file.path";
const MIN_TOKEN_BYTES: usize = 1;
const PROBE_FILE: &str = ".write-probe";

/// Checks the resources of this machine that the settings in `node` refer to; paths are relative to
/// `folder`.
///
/// Missing and malformed values are skipped, since parsing the settings reports them.
pub fn check(node: &yaml::Node, folder: &path::Path) -> Vec<document::Problem> {
    let mut problems = Vec::new();
    for (field, text) in list_values(node, LISTENERS) {
        let address = text.parse().ok();
        problems.extend(address.and_then(|address| check_listener(&field, address)));
    }
    for (field, text) in list_values(node, TOKENS) {
        problems.extend(check_secret(&field, &folder.join(text), MIN_TOKEN_BYTES));
    }
    if let Some(text) = node.get_text(KEY_FILE) {
        let min_bytes = peer::ClusterKey::MIN_BYTES;
        problems.extend(check_secret(KEY_FILE, &folder.join(text), min_bytes));
    }
    if let Some(text) = node.get_text(DATA_FOLDER) {
        problems.extend(check_folder(DATA_FOLDER, &folder.join(text)));
    }
    if let Some(text) = node.get_text(LOG_FILE) {
        let file = folder.join(text);
        problems.extend(file.parent().and_then(|parent| check_folder(LOG_FILE, parent)));
    }
    for problem in &mut problems {
        problem.location = Some(node.find_nearest(&problem.field).get_location());
    }
    problems
}

/// Returns the fields under `key` that have a scalar value, each as its path and its text.
fn list_values<'a>(node: &'a yaml::Node, key: &str) -> Vec<(String, &'a str)> {
    let Some(yaml::Value::Mapping(entries)) = node.get(key).map(|child| &child.value) else {
        return Vec::new();
    };
    let values = entries.iter().filter_map(|entry| match &entry.node.value {
        yaml::Value::Scalar(text) => Some((format!("{key}.{}", entry.key), text.as_str())),
        yaml::Value::Null | yaml::Value::Sequence(_) | yaml::Value::Mapping(_) => None,
    });
    values.collect()
}

fn check_listener(field: &str, address: net::SocketAddr) -> Option<document::Problem> {
    let error = net::TcpListener::bind(address).err()?;
    let message = match error.kind() {
        io::ErrorKind::AddrInUse => format!("`{address}` is in use"),
        io::ErrorKind::AddrNotAvailable => format!("`{address}` is not an address of this machine"),
        _ => format!("`{address}` cannot be bound: {error}"),
    };
    Some(document::Problem::new(field, message))
}

fn check_folder(field: &str, folder: &path::Path) -> Option<document::Problem> {
    let path = folder.display();
    let problem = |message| Some(document::Problem::new(field, message));
    match fs::metadata(folder) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => {
            return problem(format!("folder `{path}` is missing: create it"));
        }
        Err(error) => return problem(format!("folder `{path}` cannot be read: {error}")),
        Ok(meta) if !meta.is_dir() => return problem(format!("`{path}` is not a folder")),
        Ok(_) => {}
    }
    match write_probe(&folder.join(PROBE_FILE)) {
        Ok(()) => None,
        Err(error) => problem(format!("folder `{path}` is not writable: {error}")),
    }
}

fn write_probe(file: &path::Path) -> io::Result<()> {
    fs::write(file, b"")?;
    fs::remove_file(file)
}

fn check_secret(field: &str, file: &path::Path, min_bytes: usize) -> Option<document::Problem> {
    let path = file.display();
    let problem = |message| Some(document::Problem::new(field, message));
    let meta = match fs::metadata(file) {
        Ok(meta) => meta,
        Err(error) if error.kind() == io::ErrorKind::NotFound => {
            return problem(format!("file `{path}` is missing: write it with mode 600"));
        }
        Err(error) => return problem(format!("file `{path}` cannot be read: {error}")),
    };
    if meta.permissions().mode() & MODE_GROUP_AND_OTHERS != 0 {
        return problem(format!("file `{path}` can be read by others: set its mode to 600"));
    }
    match fs::read(file) {
        Err(error) => problem(format!("file `{path}` cannot be read: {error}")),
        Ok(data) if data.trim_ascii().len() < min_bytes => {
            problem(format!("file `{path}` holds less than {min_bytes} bytes"))
        }
        Ok(_) => None,
    }
}
