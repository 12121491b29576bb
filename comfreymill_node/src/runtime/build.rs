use std::future::Future;
use std::io;

use monoio::{LegacyDriver, RuntimeBuilder};

/// Runs a future, and the tasks that it spawns, on this thread.
///
/// The driver is named, since the default one would choose `io_uring`.
///
/// # Errors
///
/// The runtime cannot be made.
pub fn block_on<F>(future: F) -> io::Result<F::Output>
where
    F: Future,
{
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build()?;
    Ok(runtime.block_on(future))
}
