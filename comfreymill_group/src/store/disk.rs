use std::io;

/// Files of one folder, as the store needs them.
pub trait Disk: Send {
    /// Names of the files.
    ///
    /// # Errors
    ///
    /// The folder can't be read.
    fn list(&mut self) -> io::Result<Vec<String>>;

    /// Content of the file `name`.
    ///
    /// # Errors
    ///
    /// The file can't be read.
    fn read(&mut self, name: &str) -> io::Result<Vec<u8>>;

    /// Adds `buf` to the end of the file `name`, which is created if it is missing.
    ///
    /// # Errors
    ///
    /// Not all of `buf` was written.
    fn append(&mut self, name: &str, buf: &[u8]) -> io::Result<()>;

    /// Makes the content of the file `name` survive a crash.
    ///
    /// # Errors
    ///
    /// The content may not survive.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Renames a file over another, if there is one.
    ///
    /// # Errors
    ///
    /// The file can't be renamed.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes the file `name`.
    ///
    /// # Errors
    ///
    /// The file can't be removed.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Makes the folder's names survive a crash.
    ///
    /// # Errors
    ///
    /// The names may not survive.
    fn sync_folder(&mut self) -> io::Result<()>;
}
