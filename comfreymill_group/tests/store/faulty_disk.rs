use comfreymill_group::store;
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard};

/// Files by name.
pub(crate) type Files = BTreeMap<String, Vec<u8>>;

/// In-memory disk that injects failures and records the files that a crash would leave.
#[derive(Clone, Debug, Default)]
pub(crate) struct FaultyDisk {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    contents: Vec<Content>,
    names: BTreeMap<String, usize>,
    /// Names that remain after a power loss, with the indexes of their contents.
    durable_names: BTreeMap<String, usize>,
    operations: u64,
    syncs: u64,
    fault: Option<Fault>,
    images: Option<Vec<Image>>,
}

#[derive(Clone, Debug, Default)]
struct Content {
    bytes: Vec<u8>,
    durable: Vec<u8>,
}

/// Failure of an operation and of all operations after it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Fault {
    /// Number of operations that succeed before the failure.
    pub(crate) after: u64,
    /// Number of bytes that a failing append still writes.
    pub(crate) partial_bytes: usize,
    /// Whether only syncs fail; the data to sync stays volatile.
    pub(crate) only_syncs: bool,
}

/// Files that a crash between two operations leaves.
#[derive(Clone, Debug)]
pub(crate) struct Image {
    /// Files after a crash of the process.
    pub(crate) process: Files,
    /// Files after a power loss that keeps only synced data.
    pub(crate) power: Files,
    /// Files after a power loss that keeps all names and half of the unsynced data.
    pub(crate) torn: Files,
}

impl FaultyDisk {
    /// Creates a disk that contains `files`, all synced.
    pub(crate) fn with_files(files: &Files) -> Self {
        let disk = Self::default();
        let mut state = disk.lock();
        for (name, bytes) in files {
            let id = state.contents.len();
            state.contents.push(Content { bytes: bytes.clone(), durable: bytes.clone() });
            state.names.insert(name.clone(), id);
        }
        state.durable_names = state.names.clone();
        drop(state);
        disk
    }

    /// Injects `fault`, replacing an earlier one.
    pub(crate) fn fail(&self, fault: Fault) {
        self.lock().fault = Some(fault);
    }

    /// Starts to record an image before each operation.
    pub(crate) fn record_images(&self) {
        self.lock().images = Some(Vec::new());
    }

    /// Returns the recorded images and one of the current state, and stops recording.
    pub(crate) fn take_images(&self) -> Vec<Image> {
        let mut state = self.lock();
        let last = state.image();
        let mut images = state.images.take().unwrap_or_default();
        images.push(last);
        images
    }

    /// Returns the files as a running process sees them.
    pub(crate) fn files(&self) -> Files {
        self.lock().image().process
    }

    /// Returns the files that remain after a power loss, which keeps only synced data.
    pub(crate) fn files_after_power_loss(&self) -> Files {
        self.lock().image().power
    }

    /// Returns the number of operations so far.
    pub(crate) fn operations(&self) -> u64 {
        self.lock().operations
    }

    /// Returns the number of successful file syncs so far.
    pub(crate) fn syncs(&self) -> u64 {
        self.lock().syncs
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("the lock is not poisoned")
    }
}

impl State {
    fn image(&self) -> Image {
        let power = self
            .durable_names
            .iter()
            .map(|(name, id)| (name.clone(), self.contents[*id].durable.clone()));
        let torn = self.names.iter().map(|(name, id)| {
            let content = &self.contents[*id];
            let synced = content.durable.len();
            let extra = content.bytes.len().saturating_sub(synced);
            let len = (synced + extra.div_ceil(2)).min(content.bytes.len());
            (name.clone(), content.bytes[..len].to_vec())
        });
        let process =
            self.names.iter().map(|(name, id)| (name.clone(), self.contents[*id].bytes.clone()));
        Image { process: process.collect(), power: power.collect(), torn: torn.collect() }
    }

    /// Counts an operation, and returns an error if the fault applies to it.
    fn begin(&mut self, is_sync: bool) -> io::Result<()> {
        let image = self.images.is_some().then(|| self.image());
        if let (Some(images), Some(image)) = (&mut self.images, image) {
            images.push(image);
        }
        self.operations += 1;
        let fails = self
            .fault
            .is_some_and(|fault| self.operations > fault.after && (is_sync || !fault.only_syncs));
        if fails { Err(io::Error::from(io::ErrorKind::StorageFull)) } else { Ok(()) }
    }

    fn id(&self, name: &str) -> io::Result<usize> {
        self.names.get(name).copied().ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}

impl store::Disk for FaultyDisk {
    fn list(&mut self) -> io::Result<Vec<String>> {
        Ok(self.lock().names.keys().cloned().collect())
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        let state = self.lock();
        let id = state.id(name)?;
        Ok(state.contents[id].bytes.clone())
    }

    fn append(&mut self, name: &str, buf: &[u8]) -> io::Result<()> {
        let mut state = self.lock();
        let begun = state.begin(false);
        let id = state.id(name).unwrap_or_else(|_| {
            let id = state.contents.len();
            state.contents.push(Content::default());
            state.names.insert(name.to_owned(), id);
            id
        });
        let partial = state.fault.map_or(0, |fault| fault.partial_bytes).min(buf.len());
        let len = if begun.is_ok() { buf.len() } else { partial };
        state.contents[id].bytes.extend_from_slice(&buf[..len]);
        begun
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.lock();
        state.begin(true)?;
        state.syncs += 1;
        let id = state.id(name)?;
        state.contents[id].durable = state.contents[id].bytes.clone();
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.lock();
        state.begin(false)?;
        let id = state.id(from)?;
        state.names.remove(from);
        state.names.insert(to.to_owned(), id);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.lock();
        state.begin(false)?;
        state.id(name)?;
        state.names.remove(name);
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        let mut state = self.lock();
        state.begin(true)?;
        state.durable_names = state.names.clone();
        Ok(())
    }
}
