use crate::id;
use crate::replica;
use crate::store::{Completion, Disk, Prepared, Store, StoreError};
use std::io;
use std::sync::mpsc;
use std::thread;

const MAX_BATCH_WRITES: usize = 256;

/// Runs a store on its own thread, where queued writes are synced together.
#[derive(Debug)]
pub struct Thread {
    tx: Option<mpsc::Sender<replica::Persist>>,
    handle: Option<thread::JoinHandle<()>>,
}

impl Thread {
    /// Starts the thread, which first creates the files of a new store. It calls `on_completion` after
    /// each sync of writes, and once after a failure.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread can't be started.
    pub fn spawn<S, D, F>(store: S, on_completion: F) -> io::Result<Self>
    where
        S: Into<Prepared<D>>,
        D: Disk + 'static,
        F: FnMut(Completion) + Send + 'static,
    {
        let (tx, rx) = mpsc::channel();
        let prepared = store.into();
        let name = format!("store-{}", prepared.identity().voter);
        let run = move || run(prepared, &rx, on_completion);
        let handle = thread::Builder::new().name(name).spawn(run)?;
        Ok(Self { tx: Some(tx), handle: Some(handle) })
    }

    /// Queues a write. After a failure, which was reported by [`Completion::Failed`], the write is
    /// dropped.
    pub fn write(&self, write: replica::Persist) {
        let sent = self.tx.as_ref().is_some_and(|tx| tx.send(write).is_ok());
        if !sent {
            log::debug!(target: "store", "write dropped: the store has stopped");
        }
    }

    /// Executes the queued writes and stops the thread.
    pub fn close(mut self) {
        self.join();
    }

    fn join(&mut self) {
        self.tx = None;
        let panicked = self.handle.take().is_some_and(|handle| handle.join().is_err());
        if panicked {
            log::error!(target: "store", "the store thread panicked");
        }
    }
}

impl Drop for Thread {
    fn drop(&mut self) {
        self.join();
    }
}

fn run<D, F>(prepared: Prepared<D>, rx: &mpsc::Receiver<replica::Persist>, mut on_completion: F)
where
    D: Disk,
    F: FnMut(Completion),
{
    let ended = prepared.into_store().and_then(|store| run_writes(store, rx, &mut on_completion));
    if let Err(error) = ended {
        log::error!(target: "store", "{error}");
        on_completion(Completion::Failed(error));
    }
}

fn run_writes<D, F>(
    mut store: Store<D>,
    rx: &mpsc::Receiver<replica::Persist>,
    on_completion: &mut F,
) -> Result<(), StoreError>
where
    D: Disk,
    F: FnMut(Completion),
{
    while let Ok(first) = rx.recv() {
        let mut writes = vec![first];
        writes.extend(rx.try_iter().take(MAX_BATCH_WRITES - 1));
        on_completion(Completion::Synced(write(&mut store, writes)?));
    }
    Ok(())
}

fn write<D>(store: &mut Store<D>, writes: Vec<replica::Persist>) -> Result<id::Sequence, StoreError>
where
    D: Disk,
{
    let sequence = writes.iter().map(|write| write.sequence).max().unwrap_or_default();
    store.write(writes)?;
    Ok(sequence)
}
