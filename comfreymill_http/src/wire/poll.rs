use std::{future, pin, task};

/// Polls a future once; `None` if it is not ready.
pub(crate) async fn now_or_never<F>(fut: F) -> Option<F::Output>
where
    F: Future,
{
    let mut fut = pin::pin!(fut);
    future::poll_fn(|cx| match fut.as_mut().poll(cx) {
        task::Poll::Ready(output) => task::Poll::Ready(Some(output)),
        task::Poll::Pending => task::Poll::Ready(None),
    })
    .await
}

/// Lets the other tasks of this thread run.
///
/// A task that wakes itself is put at the front of monoio's queue and would run again at once, so
/// this waits for a task at its end.
pub(crate) async fn yield_now() {
    monoio::spawn(future::ready(())).await;
}
