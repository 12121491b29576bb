use std::{future, time};

/// Timeout that ends a hanging test; no test result depends on its length otherwise.
const HANG: time::Duration = time::Duration::from_secs(60);

/// Number of times that [`step`] yields.
const STEPS: usize = 8;

/// Runs a test on a monoio runtime with the legacy driver.
pub(crate) fn run<F>(test: F) -> F::Output
where
    F: Future,
{
    monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("runtime")
        .block_on(guard(test))
}

/// Awaits a future that must complete, and panics after [`HANG`].
pub(crate) async fn guard<F>(fut: F) -> F::Output
where
    F: Future,
{
    monoio::time::timeout(HANG, fut).await.expect("the future did not complete in time")
}

/// Yields several times, so that every other ready task runs.
pub(crate) async fn step() {
    for _ in 0..STEPS {
        monoio::spawn(future::ready(())).await;
    }
}
