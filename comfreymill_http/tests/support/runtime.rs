use std::{future, time};

/// Timeout that ends a hanging test; no test result depends on its length otherwise.
const HANG_TIMEOUT: time::Duration = time::Duration::from_secs(60);

/// Number of times that [`yield_to_tasks`] yields.
const YIELDS: usize = 8;

/// Runs a test on a monoio runtime with the legacy driver.
pub(crate) fn run<F>(test: F) -> F::Output
where
    F: Future,
{
    monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("runtime")
        .block_on(with_timeout(test))
}

/// Awaits a future that must complete, and panics after [`HANG_TIMEOUT`].
pub(crate) async fn with_timeout<F>(fut: F) -> F::Output
where
    F: Future,
{
    monoio::time::timeout(HANG_TIMEOUT, fut).await.expect("the future did not complete in time")
}

/// Yields several times, so that every other ready task runs.
pub(crate) async fn yield_to_tasks() {
    for _ in 0..YIELDS {
        monoio::spawn(future::ready(())).await;
    }
}
