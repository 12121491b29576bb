use std::fs;
use std::io;
use std::os::unix::fs::PermissionsExt as _;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

static NEXT_NUMBER: AtomicU32 = AtomicU32::new(1);

/// Temporary folder that is removed when it is dropped.
#[derive(Debug)]
pub(super) struct Folder {
    path: PathBuf,
    number: u32,
}

impl Folder {
    pub(super) fn new() -> io::Result<Self> {
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        let name = format!("comfreymill-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path)?;
        Ok(Self { path, number })
    }

    pub(super) fn get_path(&self) -> &Path {
        &self.path
    }

    /// Returns the folder's number, which is unique in this process.
    pub(super) fn get_number(&self) -> u32 {
        self.number
    }

    /// Writes a file that only its owner may read.
    pub(super) fn write(&self, name: &str, text: &str) -> io::Result<PathBuf> {
        let path = self.path.join(name);
        fs::write(&path, text)?;
        fs::set_permissions(&path, fs::Permissions::from_mode(0o600))?;
        Ok(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        // A folder that cannot be removed is harmless.
        fs::remove_dir_all(&self.path).ok();
    }
}
