use std::future::Future;
use std::io;

use monoio::{LegacyDriver, RuntimeBuilder};

/// Runs a future, and the tasks that it spawns, on the current thread.
///
/// The legacy driver is set explicitly, since the default driver would choose `io_uring`.
///
/// # Errors
///
/// Fails if the runtime cannot be built.
pub fn block_on<F>(future: F) -> io::Result<F::Output>
where
    F: Future,
{
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build()?;
    Ok(runtime.block_on(future))
}
