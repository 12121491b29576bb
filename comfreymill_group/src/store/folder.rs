use crate::store::{Disk, names};
use std::fs;
use std::io::{self, Write};
use std::path;

const LOCK_NAME: &str = "lock";

/// [`Disk`] in a folder of the file system, locked against other processes.
#[derive(Debug)]
pub struct FolderDisk {
    path: path::PathBuf,
    /// Name and handle of the last written file, kept open for further writes.
    open: Option<(String, fs::File)>,
    /// Folder above, if its entry of a folder without an identity may not be synced.
    unsynced_parent: Option<fs::File>,
    _lock: fs::File,
}

impl FolderDisk {
    /// Opens and locks the folder at `path`, which is created if it doesn't exist.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder can't be created or another process has locked it.
    pub fn open<P>(path: P) -> io::Result<Self>
    where
        P: Into<path::PathBuf>,
    {
        let path = path.into();
        let unsynced_parent = create_folder(&path)?;
        let lock = fs::File::create(path.join(LOCK_NAME))?;
        lock.try_lock().map_err(lock_error)?;
        Ok(Self { path, open: None, unsynced_parent, _lock: lock })
    }

    fn file(&mut self, name: &str) -> io::Result<&mut fs::File> {
        if self.open.as_ref().is_none_or(|(open, _)| open != name) {
            let path = self.path.join(name);
            let file = fs::OpenOptions::new().append(true).create(true).open(path)?;
            self.open = Some((name.to_owned(), file));
        }
        match &mut self.open {
            Some((_, file)) => Ok(file),
            None => Err(io::ErrorKind::NotFound.into()),
        }
    }
}

impl Disk for FolderDisk {
    fn list(&mut self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            let name = entry?.file_name().to_string_lossy().into_owned();
            if name != LOCK_NAME {
                names.push(name);
            }
        }
        names.sort();
        Ok(names)
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(name))
    }

    fn append(&mut self, name: &str, buf: &[u8]) -> io::Result<()> {
        self.file(name)?.write_all(buf)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.file(name)?.sync_data()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.open = None;
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open = None;
        fs::remove_file(self.path.join(name))
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        if let Some(parent) = &self.unsynced_parent {
            parent.sync_all()?;
            self.unsynced_parent = None;
        }
        fs::File::open(&self.path)?.sync_all()
    }
}

/// Creates a folder with the missing ones above it, and syncs the parent of each of these, so that the
/// new entries survive a crash. The parent of the folder itself is returned for its first sync, also if
/// a process that was killed may have created the folder.
fn create_folder(path: &path::Path) -> io::Result<Option<fs::File>> {
    let is_missing = |folder: &&path::Path| !folder.as_os_str().is_empty() && !folder.is_dir();
    let missing: Vec<_> = path.ancestors().take_while(is_missing).collect();
    for folder in missing.iter().rev() {
        fs::create_dir(folder)?;
        if *folder != path {
            open_parent(folder)?.sync_all()?;
        }
    }
    if !missing.is_empty() {
        return open_parent(path).map(Some);
    }
    let is_unused = !path.join(names::IDENTITY).exists();
    Ok(if is_unused { open_parent(path).ok() } else { None })
}

fn open_parent(folder: &path::Path) -> io::Result<fs::File> {
    let parent = folder.parent().filter(|parent| !parent.as_os_str().is_empty());
    fs::File::open(parent.unwrap_or(path::Path::new(".")))
}

fn lock_error(error: fs::TryLockError) -> io::Error {
    match error {
        fs::TryLockError::WouldBlock => {
            io::Error::new(io::ErrorKind::ResourceBusy, "another process uses the folder")
        }
        fs::TryLockError::Error(error) => error,
    }
}
