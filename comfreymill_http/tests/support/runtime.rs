use std::{future, time};

/// Ends a test that hangs; no test depends on its length otherwise.
const HANG: time::Duration = time::Duration::from_secs(60);

const STEPS: usize = 8;

/// Runs a test on a monoio runtime of the legacy driver.
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

/// Waits for something that must come, and panics if it never does.
pub(crate) async fn guard<F>(fut: F) -> F::Output
where
    F: Future,
{
    monoio::time::timeout(HANG, fut).await.expect("the test hangs")
}

/// Lets every other task run that has something to do.
pub(crate) async fn step() {
    for _ in 0..STEPS {
        monoio::spawn(future::ready(())).await;
    }
}
