//! Checks of what settings name on this machine: addresses, folders, keys and tokens.

use std::fs;
use std::io;
use std::net;
use std::os::unix::fs::PermissionsExt as _;
use std::path;

use comfreymill_types::document;

use super::{CommonSettings, ControlSettings, EntrySettings};

const MIN_KEY_BYTES: usize = 32;
const MODE_GROUP_AND_OTHERS: u32 = 0o077;
const PROBE_FILE: &str = ".write-probe";

/// Problems of an entry's settings on this machine.
pub fn check_entry(settings: &EntrySettings) -> Vec<document::Problem> {
    let mut problems = check_listeners(&settings.get_listeners());
    problems.extend(check_common(settings.get_common()));
    let tokens = [
        ("tokens.callers", settings.get_callers_token_file()),
        ("tokens.upstreams", settings.get_upstreams_token_file()),
    ];
    for (field, file) in tokens {
        problems.extend(file.and_then(|file| check_secret(field, file, 1)));
    }
    problems
}

/// Problems of a control process's settings on this machine.
pub fn check_control(settings: &ControlSettings) -> Vec<document::Problem> {
    let mut problems = check_listeners(&settings.get_listeners());
    problems.extend(check_common(settings.get_common()));
    problems.extend(check_folder("data_folder", settings.get_data_folder()));
    problems
}

fn check_common(settings: &CommonSettings) -> Vec<document::Problem> {
    let mut problems = Vec::new();
    problems.extend(check_secret("key_file", settings.get_key_file(), MIN_KEY_BYTES));
    problems.extend(check_secret("tokens.operators", settings.get_operators_token_file(), 1));
    let log_folder = settings.get_log().get_file().and_then(|file| file.path.parent());
    problems.extend(log_folder.and_then(|folder| check_folder("log.file.path", folder)));
    problems
}

fn check_listeners(listeners: &[(&'static str, net::SocketAddr)]) -> Vec<document::Problem> {
    listeners.iter().filter_map(|(key, address)| check_listener(key, *address)).collect()
}

fn check_listener(key: &str, address: net::SocketAddr) -> Option<document::Problem> {
    let error = net::TcpListener::bind(address).err()?;
    let message = match error.kind() {
        io::ErrorKind::AddrInUse => format!("`{address}` is in use"),
        io::ErrorKind::AddrNotAvailable => format!("`{address}` is not an address of this machine"),
        _ => format!("`{address}` cannot be bound: {error}"),
    };
    Some(document::Problem::new(format!("listeners.{key}"), message))
}

fn check_folder(field: &str, folder: &path::Path) -> Option<document::Problem> {
    let shown = folder.display();
    let problem = |message| Some(document::Problem::new(field, message));
    match fs::metadata(folder) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => {
            return problem(format!("folder `{shown}` is missing: create it"));
        }
        Err(error) => return problem(format!("folder `{shown}` cannot be read: {error}")),
        Ok(meta) if !meta.is_dir() => return problem(format!("`{shown}` is not a folder")),
        Ok(_) => {}
    }
    match write_probe(&folder.join(PROBE_FILE)) {
        Ok(()) => None,
        Err(error) => problem(format!("folder `{shown}` is not writable: {error}")),
    }
}

fn write_probe(file: &path::Path) -> io::Result<()> {
    fs::write(file, b"")?;
    fs::remove_file(file)
}

fn check_secret(field: &str, file: &path::Path, min_bytes: usize) -> Option<document::Problem> {
    let shown = file.display();
    let problem = |message| Some(document::Problem::new(field, message));
    let meta = match fs::metadata(file) {
        Ok(meta) => meta,
        Err(error) if error.kind() == io::ErrorKind::NotFound => {
            return problem(format!("file `{shown}` is missing: write it with mode 600"));
        }
        Err(error) => return problem(format!("file `{shown}` cannot be read: {error}")),
    };
    if meta.permissions().mode() & MODE_GROUP_AND_OTHERS != 0 {
        return problem(format!("file `{shown}` can be read by others: set its mode to 600"));
    }
    match fs::read(file) {
        Err(error) => problem(format!("file `{shown}` cannot be read: {error}")),
        Ok(data) if data.trim_ascii().len() < min_bytes => {
            problem(format!("file `{shown}` holds less than {min_bytes} bytes"))
        }
        Ok(_) => None,
    }
}
