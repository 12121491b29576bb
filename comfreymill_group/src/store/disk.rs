use std::io;

/// File operations on one folder that the store uses.
pub trait Disk: Send {
    /// Returns the names of all files.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder can't be read.
    fn list(&mut self) -> io::Result<Vec<String>>;

    /// Returns the content of the file `name`.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read.
    fn read(&mut self, name: &str) -> io::Result<Vec<u8>>;

    /// Appends `buf` to the file `name`, which is created if it doesn't exist.
    ///
    /// # Errors
    ///
    /// Returns an error if `buf` wasn't written completely; a part of it may be in the file.
    fn append(&mut self, name: &str, buf: &[u8]) -> io::Result<()>;

    /// Syncs the content of the file `name`, so that it survives a crash.
    ///
    /// # Errors
    ///
    /// Returns an error if the content may be lost in a crash.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Renames the file `from` to `to`, replacing an existing file `to`.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be renamed.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes the file `name`.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be removed.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Syncs the folder, so that created, renamed and removed names survive a crash.
    ///
    /// # Errors
    ///
    /// Returns an error if these changes may be lost in a crash.
    fn sync_folder(&mut self) -> io::Result<()>;
}
