use comfreymill_group::store;
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard};

/// Files by name.
pub(crate) type Files = BTreeMap<String, Vec<u8>>;

/// Disk in memory that fails as told and remembers what a crash would leave.
#[derive(Clone, Debug, Default)]
pub(crate) struct FaultyDisk {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    contents: Vec<Content>,
    names: BTreeMap<String, usize>,
    /// Names as they are after a loss of power.
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

/// Failure of one operation and all that follow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Fault {
    /// Operations that succeed before.
    pub(crate) after: u64,
    /// Bytes of the failing append that are written all the same.
    pub(crate) partial_bytes: usize,
    /// Only syncs fail, and lose what they were to sync.
    pub(crate) only_syncs: bool,
}

/// What a crash between two operations leaves.
#[derive(Clone, Debug)]
pub(crate) struct Image {
    /// After the end of the process alone.
    pub(crate) process: Files,
    /// After a loss of power that keeps only what was synced.
    pub(crate) power: Files,
    /// After a loss of power that keeps all names and a part of what was not synced.
    pub(crate) torn: Files,
}

impl FaultyDisk {
    /// Disk that holds `files`.
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

    /// Lets operations fail.
    pub(crate) fn fail(&self, fault: Fault) {
        self.lock().fault = Some(fault);
    }

    /// Starts to keep an image before each operation.
    pub(crate) fn keep_images(&self) {
        self.lock().images = Some(Vec::new());
    }

    /// Images kept so far, and the present one.
    pub(crate) fn take_images(&self) -> Vec<Image> {
        let mut state = self.lock();
        let last = state.image();
        let mut images = state.images.take().unwrap_or_default();
        images.push(last);
        images
    }

    /// Files as a running process sees them.
    pub(crate) fn files(&self) -> Files {
        self.lock().image().process
    }

    /// Files after a loss of power.
    pub(crate) fn files_after_power_loss(&self) -> Files {
        self.lock().image().power
    }

    /// Number of operations so far.
    pub(crate) fn operations(&self) -> u64 {
        self.lock().operations
    }

    /// Number of syncs of files so far.
    pub(crate) fn syncs(&self) -> u64 {
        self.lock().syncs
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no test panics with the lock")
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
            let kept = content.durable.len();
            let extra = content.bytes.len().saturating_sub(kept);
            let len = (kept + extra.div_ceil(2)).min(content.bytes.len());
            (name.clone(), content.bytes[..len].to_vec())
        });
        let process =
            self.names.iter().map(|(name, id)| (name.clone(), self.contents[*id].bytes.clone()));
        Image { process: process.collect(), power: power.collect(), torn: torn.collect() }
    }

    /// Counts an operation, and fails if it is due.
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
